/**
 * Checks the invariants of the system against observations made by callers, upstreams and the
 * platform, independently of the daemons under test.
 */
package org.hibiscusreel.bench.check;
