package org.hibiscusreel.coordination.request;

import java.util.List;
import org.hibiscusreel.core.request.RequestKey;

/**
 * A validated call to a model.
 *
 * @param key key of the request
 * @param model name of the model
 * @param budget budget to charge
 * @param requestClass name of the request class, or empty for the defaults
 * @param body JSON body to send to the engine, with {@code "stream":true}
 * @param promptBytes upper bound of the tokens of the prompt
 * @param maxTokens largest number of tokens of the answer
 * @param prefixHashes hashes of prefixes of the prompt, in order of increasing length
 * @param fingerprint SHA-256 of the normalized content, in hexadecimal
 * @param deadlineMillis time from arrival to the end of the answer in milliseconds, 0 for the
 *     default of the class
 */
public record ModelRequest(
    RequestKey key,
    String model,
    String budget,
    String requestClass,
    byte[] body,
    long promptBytes,
    int maxTokens,
    List<String> prefixHashes,
    String fingerprint,
    long deadlineMillis) {

  /** Copies the list of hashes. */
  public ModelRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }
}
