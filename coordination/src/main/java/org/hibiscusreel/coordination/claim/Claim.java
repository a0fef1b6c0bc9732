package org.hibiscusreel.coordination.claim;

import org.hibiscusreel.core.request.RequestKey;

/**
 * Claim held by one attempt.
 *
 * @param key the request
 * @param nonce unique value of the attempt
 * @param fingerprint SHA-256 of the normalized content, in hexadecimal
 * @param version version of the claim row
 */
public record Claim(RequestKey key, String nonce, String fingerprint, long version) {}
