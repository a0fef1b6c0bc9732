/** Server and client of gRPC for calls between daemons. */
package org.hibiscusreel.daemon.peer;
