package org.hibiscusreel.bench.check;

import org.hibiscusreel.core.request.RequestKey;

/**
 * One attempt of a caller to have a request served.
 *
 * @param key the request
 * @param server incarnation that the attempt was sent to
 * @param expected the whole answer, recomputed from the request alone
 * @param service true for a plain service, false for a model
 * @param repeatable whether the request may run more than once
 * @param worth worth of the request
 * @param submittedAt time of the submission in milliseconds
 * @param firstPieceAt time of the first piece in milliseconds, the end if there was none
 * @param endedAt time of the end in milliseconds
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
