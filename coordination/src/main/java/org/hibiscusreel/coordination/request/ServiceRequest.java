package org.hibiscusreel.coordination.request;

import org.hibiscusreel.core.request.RequestKey;

/**
 * A validated call to a plain service.
 *
 * @param key key of the request
 * @param service name of the service
 * @param method name of the method
 * @param budget budget to charge
 * @param contentType content type of the body, or empty
 * @param body the body
 * @param fingerprint SHA-256 of the normalized content, in hexadecimal
 * @param deadlineMillis time from arrival to the response in milliseconds, 0 for the default of the
 *     method
 */
public record ServiceRequest(
    RequestKey key,
    String service,
    String method,
    String budget,
    String contentType,
    byte[] body,
    String fingerprint,
    long deadlineMillis) {}
