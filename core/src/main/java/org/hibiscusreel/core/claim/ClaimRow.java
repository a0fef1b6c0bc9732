package org.hibiscusreel.core.claim;

/**
 * Row of a claim in the platform's store.
 *
 * @param incarnation incarnation that holds the claim
 * @param nonce unique value of the attempt that holds the claim
 * @param state state of the claim
 * @param fingerprint SHA-256 of the normalized content, in hexadecimal
 * @param status HTTP status of the response, 0 until finished
 * @param contentType content type of the response, empty until finished
 * @param body base64-encoded body of the response, empty until finished or if it is too large to
 *     store
 * @param atMillis wall-clock time of the last change in milliseconds since the epoch
 */
public record ClaimRow(
    String incarnation,
    String nonce,
    ClaimState state,
    String fingerprint,
    int status,
    String contentType,
    String body,
    long atMillis) {}
