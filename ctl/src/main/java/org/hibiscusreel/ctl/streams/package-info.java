/** Comparison of the origins of streams in the logs of daemons. */
package org.hibiscusreel.ctl.streams;
