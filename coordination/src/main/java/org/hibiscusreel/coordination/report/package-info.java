/** Writing and reading of the counters of a day. */
package org.hibiscusreel.coordination.report;
