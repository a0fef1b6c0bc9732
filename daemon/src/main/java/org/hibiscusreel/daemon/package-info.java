/** The router daemon: settings, HTTP and gRPC endpoints, and the adapters behind the ports. */
package org.hibiscusreel.daemon;
