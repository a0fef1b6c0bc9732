/** The evening report: counters of a day, what is computed from them and from bills, renderers. */
package org.hibiscusreel.core.report;
