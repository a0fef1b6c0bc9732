/** Scheduler and time source for the ActiveJ event loop. */
package org.hibiscusreel.daemon.loop;
