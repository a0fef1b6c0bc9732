/**
 * Evening report: the counters of a day, the report computed from counters and bills, and its
 * renderers.
 */
package org.hibiscusreel.core.report;
