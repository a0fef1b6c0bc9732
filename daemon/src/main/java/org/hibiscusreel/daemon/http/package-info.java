/** HTTP calls over ActiveJ that tell calls that were certainly not sent from unknown outcomes. */
package org.hibiscusreel.daemon.http;
