/**
 * Asynchronous interfaces through which the coordination services use the network, files and
 * timers.
 */
package org.hibiscusreel.coordination.port;
