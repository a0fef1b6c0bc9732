/** Search for schedules of faults that break a promise. */
package org.hibiscusreel.bench.explore;
