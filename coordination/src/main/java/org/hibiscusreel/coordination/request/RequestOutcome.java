package org.hibiscusreel.coordination.request;

import java.util.Optional;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Outcome of a request.
 *
 * @param key key of the request
 * @param budget budget to charge
 * @param target model name, or {@code service/method}
 * @param worth worth of the request
 * @param worstCase tokens that had to be reserved
 * @param billedTokens tokens billed, 0 if none
 * @param lateMillis time past the deadline in milliseconds, 0 if in time
 * @param cancelled whether the caller cancelled the request
 * @param problem problem that was reported to the caller, empty if the request was served
 */
public record RequestOutcome(
    RequestKey key,
    String budget,
    String target,
    double worth,
    long worstCase,
    long billedTokens,
    long lateMillis,
    boolean cancelled,
    Optional<Problem> problem) {}
