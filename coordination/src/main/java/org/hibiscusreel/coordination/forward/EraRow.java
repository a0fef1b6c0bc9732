package org.hibiscusreel.coordination.forward;

/**
 * Row in which a daemon records since when it knows the era of the store.
 *
 * @param era era of the store
 * @param sinceMillis time of the store since which it is known to have lasted, in milliseconds
 */
record EraRow(long era, long sinceMillis) {}
