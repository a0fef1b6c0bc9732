/** The router daemon: settings, HTTP and gRPC servers, and clients for the external services. */
package org.hibiscusreel.daemon;
