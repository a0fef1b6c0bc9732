/**
 * HTTP on both sides of the forwarding: the callers' server, the client for upstreams, the
 * readiness and metrics server, and the writer of the decision log. How headers are spelled is the
 * dialects' matter.
 */
package org.hibiscusreel.daemon.forward;
