package org.hibiscusreel.coordination.request;

import java.util.Optional;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.RequestKey;

/**
 * How a request ended.
 *
 * @param key the request
 * @param budget budget to charge
 * @param target model name, or {@code service/method}
 * @param worth worth of the request
 * @param worstCase tokens that the request needed to reserve
 * @param billedTokens tokens billed, 0 if none
 * @param lateMillis time past the deadline in milliseconds, 0 when in time
 * @param cancelled whether the caller gave the request up
 * @param problem what the caller was told, empty if the request was served
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
