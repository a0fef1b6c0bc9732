/** Reads, writes and replays recorded traces in JSON Lines format. */
package org.hibiscusreel.bench.replay;
