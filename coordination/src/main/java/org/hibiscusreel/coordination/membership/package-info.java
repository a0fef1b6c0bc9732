/** Tracks the membership of daemons with probes, suspicion and incarnations. */
package org.hibiscusreel.coordination.membership;
