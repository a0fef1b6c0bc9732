/** Metrics of the daemon. */
package org.hibiscusreel.daemon.metrics;
