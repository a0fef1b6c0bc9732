/**
 * Forwards opaque requests to upstreams: admission, prepaid tokens, choice of an upstream, further
 * attempts, resumed streams, timeouts and the decision log.
 */
package org.hibiscusreel.coordination.forward;
