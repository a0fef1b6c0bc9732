/** Asynchronous ports that connect the coordination services to sockets, files and timers. */
package org.hibiscusreel.coordination.port;
