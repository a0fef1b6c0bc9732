package org.hibiscusreel.bench.check;

import org.hibiscusreel.core.request.RequestKey;

/**
 * One submission of a request by a caller. A retry is a further attempt with the same key.
 *
 * @param key client account and request identifier
 * @param server incarnation of the daemon that the attempt was sent to
 * @param expected the complete answer, computed from the request alone
 * @param service true for a plain service call, false for a model call
 * @param repeatable whether the request may run more than once
 * @param worth worth of the request in the operators' unit
 * @param submittedAt time of the submission, in milliseconds on the clock of the run
 * @param firstPieceAt time of the first piece of the answer, in milliseconds on the same clock;
 *     {@code endedAt} if no piece arrived
 * @param endedAt time at which the outcome was known, in milliseconds on the same clock
 * @param outcome what the caller received
 */
public record Attempt(
    RequestKey key,
    String server,
    String expected,
    boolean service,
    boolean repeatable,
    double worth,
    long submittedAt,
    long firstPieceAt,
    long endedAt,
    Outcome outcome) {}
