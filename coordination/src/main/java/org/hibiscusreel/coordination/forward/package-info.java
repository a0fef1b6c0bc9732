/**
 * Forwards requests to upstreams without interpreting them: admission, prepaid tokens, choice of an
 * upstream, retries, resumed streams, timeouts and the decision log.
 */
package org.hibiscusreel.coordination.forward;
