/** Time and delayed tasks on the ActiveJ event loop. */
package org.hibiscusreel.daemon.loop;
