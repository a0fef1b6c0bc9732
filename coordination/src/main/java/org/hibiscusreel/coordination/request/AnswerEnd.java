package org.hibiscusreel.coordination.request;

/**
 * End marker of a complete answer.
 *
 * @param finishReason finish reason given by the engine
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated
 * @param lengthBytes length of the complete text in UTF-8 bytes
 * @param sha256 SHA-256 of the complete text in UTF-8, in hexadecimal
 */
public record AnswerEnd(
    String finishReason,
    long promptTokens,
    long completionTokens,
    long lengthBytes,
    String sha256) {}
