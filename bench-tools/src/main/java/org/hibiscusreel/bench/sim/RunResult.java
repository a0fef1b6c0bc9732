package org.hibiscusreel.bench.sim;

import java.util.List;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.bench.check.Violation;
import org.hibiscusreel.core.timeline.TimelineEvent;

/**
 * Result of a simulated run.
 *
 * @param observations observations of callers, upstreams and the platform
 * @param violations violations of the invariants
 * @param timeline events of all daemons in order of their timestamps
 * @param platformWrites number of transactions that the table received
 * @param platformReads number of reads and scans that the table received
 * @param peerMessages number of calls between daemons
 * @param durationMillis duration of the run in milliseconds of virtual time
 * @param strandedTokens number of tokens drawn but neither returned, billed nor held by a running
 *     daemon
 */
public record RunResult(
    Observations observations,
    List<Violation> violations,
    List<TimelineEvent> timeline,
    long platformWrites,
    long platformReads,
    long peerMessages,
    long durationMillis,
    long strandedTokens) {}
