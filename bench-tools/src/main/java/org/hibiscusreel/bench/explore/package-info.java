/** Searches random schedules of faults for violations of the invariants. */
package org.hibiscusreel.bench.explore;
