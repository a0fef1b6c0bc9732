package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Hashes the prefixes of a prompt in the same way as the engines do in their cache events. The
 * prompt is the contents of the messages, one per line. Its prefixes are multiples of 256
 * characters long, and a hash is the first 32 hexadecimal digits of the SHA-256 of a prefix.
 */
final class PromptPrefixHashes {

  private static final int BLOCK_CHARS = 256;
  private static final int HASH_CHARS = 32;

  /**
   * Largest number of prefixes. Longer prefixes rarely change the choice of the engine but take
   * time to hash.
   */
  private static final int MAX_PREFIXES = 64;

  private PromptPrefixHashes() {}

  /** Returns the prefix hashes of the messages, shortest prefix first. */
  static List<String> of(JsonNode messages) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode content = message.path("content");
      prompt.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    List<String> hashes = new ArrayList<>();
    for (int end = BLOCK_CHARS;
        end <= prompt.length() && hashes.size() < MAX_PREFIXES;
        end += BLOCK_CHARS) {
      hashes.add(CanonicalJson.sha256(prompt.substring(0, end)).substring(0, HASH_CHARS));
    }
    return hashes;
  }
}
