/** Concurrency and rate limits, and the queue of requests that wait for capacity. */
package org.hibiscusreel.core.admission;
