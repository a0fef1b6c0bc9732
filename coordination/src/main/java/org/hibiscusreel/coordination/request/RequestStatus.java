package org.hibiscusreel.coordination.request;

import org.hibiscusreel.core.request.Ran;

/**
 * Known status of an earlier request.
 *
 * @param ran whether it ran
 * @param state {@code finished}, {@code in_progress}, {@code withdrawn}, {@code not_known} or
 *     {@code unavailable}
 * @param billedTokens tokens billed, 0 if none
 * @param status HTTP status of the recorded outcome of a plain service, 0 if none
 * @param contentType content type of the recorded outcome, or empty
 * @param body body of the recorded outcome, or empty
 */
public record RequestStatus(
    Ran ran, String state, long billedTokens, int status, String contentType, byte[] body) {}
