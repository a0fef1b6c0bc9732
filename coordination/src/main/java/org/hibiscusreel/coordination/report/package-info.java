/** Writes the daily counters to the platform and splits them into rows. */
package org.hibiscusreel.coordination.report;
