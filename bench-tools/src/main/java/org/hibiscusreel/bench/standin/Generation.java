package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The text that an engine generates, determined by model, prompt and token limit, so that a checker
 * can recompute it.
 */
public final class Generation {

  private static final int DEFAULT_MAX_TOKENS = 64;

  /** One prompt in so many stops before its token limit, so that limit and usage differ. */
  private static final int EARLY_STOP_ONE_IN = 4;

  private static final String[] SYLLABLES = {
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va"
  };

  private final String prompt;
  private final long seed;
  private final int pieces;
  private final boolean stopsEarly;

  private Generation(String model, String prompt, int maxTokens) {
    this.prompt = prompt;
    this.seed = Long.parseUnsignedLong(sha256(model + "\n" + prompt).substring(0, 16), 16);
    this.stopsEarly = Long.remainderUnsigned(seed, EARLY_STOP_ONE_IN) == 0 && maxTokens > 1;
    this.pieces = stopsEarly ? (maxTokens + 1) / 2 : maxTokens;
  }

  /**
   * Returns the generation of a chat-completions body.
   *
   * @param body the parsed body
   * @return the generation
   * @throws IllegalArgumentException if model, messages or token limit are missing or wrong
   */
  public static Generation of(JsonNode body) {
    String model = body.path("model").asText("");
    JsonNode messages = body.path("messages");
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    if (model.isEmpty() || !messages.isArray() || messages.isEmpty() || maxTokens < 1) {
      throw new IllegalArgumentException("model, messages and a positive max_tokens are needed");
    }
    StringBuilder b = new StringBuilder();
    for (JsonNode m : messages) {
      JsonNode content = m.path("content");
      b.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return new Generation(model, b.toString(), maxTokens);
  }

  /**
   * Returns the contents of all messages, one a line.
   *
   * @return the prompt
   */
  public String prompt() {
    return prompt;
  }

  /**
   * Returns the number of pieces, one token each.
   *
   * @return at least 1
   */
  public int pieces() {
    return pieces;
  }

  /**
   * Returns the tokens of the prompt: its words.
   *
   * @return at least 1
   */
  public int promptTokens() {
    return Math.max(1, prompt.strip().split("\\s+").length);
  }

  /**
   * Returns why the generation ends.
   *
   * @return {@code stop} or {@code length}
   */
  public String finishReason() {
    return stopsEarly ? "stop" : "length";
  }

  /**
   * Returns a piece. It needs no escaping in JSON.
   *
   * @param offset number of the piece, from 0
   * @return a word of four syllables and a space
   */
  public String piece(int offset) {
    long h = mix(seed + offset * 0x9E3779B97F4A7C15L);
    StringBuilder b = new StringBuilder(9);
    for (int i = 0; i < 4; i++) {
      b.append(SYLLABLES[(int) (h >>> (60 - 4 * i)) & 15]);
    }
    return b.append(' ').toString();
  }

  /**
   * Returns the whole text.
   *
   * @return all pieces in order
   */
  public String text() {
    StringBuilder b = new StringBuilder();
    for (int i = 0; i < pieces; i++) {
      b.append(piece(i));
    }
    return b.toString();
  }

  /**
   * Returns the digest of a text.
   *
   * @param text any text
   * @return SHA-256 of the UTF-8 bytes in hexadecimal
   */
  public static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns the receipt that a plain service answers, the same for each run of a call.
   *
   * @param key idempotency key
   * @param method method
   * @return hexadecimal text
   */
  public static String receipt(String key, String method) {
    return sha256(key + "\n" + method);
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long z) {
    long a = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    long b = (a ^ (a >>> 27)) * 0x94D049BB133111EBL;
    return b ^ (b >>> 31);
  }
}
