/** Recorded traces as JSON lines and their replay. */
package org.hibiscusreel.bench.replay;
