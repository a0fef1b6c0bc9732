/** Membership of daemons: probes, suspicion and incarnations. */
package org.hibiscusreel.coordination.membership;
