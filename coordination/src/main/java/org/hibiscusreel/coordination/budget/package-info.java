/** Reserves tokens from allotments that are drawn from the platform. */
package org.hibiscusreel.coordination.budget;
