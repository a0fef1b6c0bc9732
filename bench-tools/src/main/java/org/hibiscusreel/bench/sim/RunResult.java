package org.hibiscusreel.bench.sim;

import java.util.List;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.bench.check.Violation;
import org.hibiscusreel.core.timeline.TimelineEvent;

/**
 * Outcome of one run.
 *
 * @param seen what callers, upstreams and the platform saw
 * @param violations broken promises
 * @param timeline events of all processes in order of their stamps
 * @param platformWrites transactions that the table received
 * @param platformReads reads and scans that the table received
 * @param peerMessages calls between daemons
 * @param durationMillis virtual duration
 * @param strandedTokens tokens drawn but neither billed nor held by a running daemon
 */
public record RunResult(
    Observations seen,
    List<Violation> violations,
    List<TimelineEvent> timeline,
    long platformWrites,
    long platformReads,
    long peerMessages,
    long durationMillis,
    long strandedTokens) {}
