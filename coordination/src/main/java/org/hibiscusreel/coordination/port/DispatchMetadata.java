package org.hibiscusreel.coordination.port;

/**
 * Metadata that an engine stores in its usage record, so that the bills of a dead daemon can be
 * recovered.
 *
 * @param account client account
 * @param requestId the caller's request identifier
 * @param budget budget that is charged
 * @param holder incarnation whose allotment covers the tokens
 * @param server incarnation that dispatched the request
 * @param reservationId reservation that covers the request
 * @param worth worth of the request
 * @param site site that served the request
 * @param fingerprint SHA-256 of the normalized content, in hexadecimal
 * @param arrivedAtMillis wall-clock time of arrival in milliseconds since the epoch
 * @param deadlineMillis time from arrival to the deadline, in milliseconds
 * @param target model name
 */
public record DispatchMetadata(
    String account,
    String requestId,
    String budget,
    String holder,
    String server,
    String reservationId,
    double worth,
    String site,
    String fingerprint,
    long arrivedAtMillis,
    long deadlineMillis,
    String target) {}
