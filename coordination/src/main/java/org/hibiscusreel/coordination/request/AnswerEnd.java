package org.hibiscusreel.coordination.request;

/**
 * End mark of a whole answer.
 *
 * @param finishReason reason that the engine gave
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param lengthBytes length of the whole text in UTF-8 bytes
 * @param sha256 SHA-256 of the whole text in UTF-8, in hexadecimal
 */
public record AnswerEnd(
    String finishReason,
    long promptTokens,
    long completionTokens,
    long lengthBytes,
    String sha256) {}
