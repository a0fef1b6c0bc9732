/** Calls between daemons over gRPC. */
package org.hibiscusreel.daemon.peer;
