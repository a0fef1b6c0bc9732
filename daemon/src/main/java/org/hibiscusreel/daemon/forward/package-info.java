/**
 * HTTP adapters of the forwarder: the callers' server, the client for upstreams, the readiness and
 * metrics server, and the writer of the decision log. The dialects define the header fields.
 */
package org.hibiscusreel.daemon.forward;
