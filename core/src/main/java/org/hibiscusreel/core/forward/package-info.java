/**
 * Forwarding of opaque requests: which route, service and client account a request belongs to,
 * which upstream runs it, and what follows when an attempt fails.
 */
package org.hibiscusreel.core.forward;
