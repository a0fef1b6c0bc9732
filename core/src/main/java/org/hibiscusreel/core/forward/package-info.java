/**
 * Forwarding of opaque requests: lookup of the route, service and client account, choice of the
 * upstream, and retries after failed attempts.
 */
package org.hibiscusreel.core.forward;
