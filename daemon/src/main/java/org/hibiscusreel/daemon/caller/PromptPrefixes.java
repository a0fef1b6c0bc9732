package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Hashes growing prefixes of a prompt as the engines do in their cache events: the contents of the
 * messages, one a line, in whole blocks of 256 characters; the first 32 hexadecimal digits of the
 * SHA-256 of each prefix.
 */
final class PromptPrefixes {

  private static final int BLOCK_CHARS = 256;
  private static final int HASH_CHARS = 32;

  /** Longer prefixes hardly change which engine is chosen, and hashing them costs time. */
  private static final int MAX_PREFIXES = 64;

  private PromptPrefixes() {}

  /** Returns the hashes of the messages, shortest prefix first. */
  static List<String> of(JsonNode messages) {
    StringBuilder b = new StringBuilder();
    for (JsonNode m : messages) {
      JsonNode content = m.path("content");
      b.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    List<String> hashes = new ArrayList<>();
    for (int end = BLOCK_CHARS;
        end <= b.length() && hashes.size() < MAX_PREFIXES;
        end += BLOCK_CHARS) {
      hashes.add(CanonicalJson.sha256(b.substring(0, end)).substring(0, HASH_CHARS));
    }
    return hashes;
  }
}
