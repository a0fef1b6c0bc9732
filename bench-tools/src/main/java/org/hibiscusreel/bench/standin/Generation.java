package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The text that the simulated engine generates. It depends only on the model, the prompt and the
 * token limit, so that a checker can recompute it.
 */
public final class Generation {

  private static final int DEFAULT_MAX_TOKENS = 64;

  /**
   * One in this many prompts stops before its token limit, so that the limit and the usage differ.
   */
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
   * Returns the generation for the body of a chat completion request.
   *
   * @param body the parsed body
   * @return the generation
   * @throws IllegalArgumentException if the model, the messages or the token limit are missing or
   *     invalid
   */
  public static Generation of(JsonNode body) {
    String model = body.path("model").asText("");
    JsonNode messages = body.path("messages");
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    if (model.isEmpty() || !messages.isArray() || messages.isEmpty() || maxTokens < 1) {
      throw new IllegalArgumentException("model, messages and a positive max_tokens are needed");
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode content = message.path("content");
      text.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return new Generation(model, text.toString(), maxTokens);
  }

  /**
   * Returns the contents of all messages, one per line.
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
   * Returns the number of prompt tokens. A token is a word.
   *
   * @return at least 1
   */
  public int promptTokens() {
    return Math.max(1, prompt.strip().split("\\s+").length);
  }

  /**
   * Returns the finish reason.
   *
   * @return {@code stop} or {@code length}
   */
  public String finishReason() {
    return stopsEarly ? "stop" : "length";
  }

  /**
   * Returns a piece, which needs no escaping in JSON.
   *
   * @param offset index of the piece, from 0
   * @return a word of four syllables and a space
   */
  public String piece(int offset) {
    long hash = mix64(seed + offset * 0x9E3779B97F4A7C15L);
    StringBuilder text = new StringBuilder(9);
    for (int i = 0; i < 4; i++) {
      text.append(SYLLABLES[(int) (hash >>> (60 - 4 * i)) & 15]);
    }
    return text.append(' ').toString();
  }

  /**
   * Returns the complete text.
   *
   * @return all pieces in order
   */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < pieces; i++) {
      text.append(piece(i));
    }
    return text.toString();
  }

  /**
   * Returns the SHA-256 digest of a text.
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
   * Returns the receipt in the response of a plain service. It is the same for each run of a call.
   *
   * @param key idempotency key
   * @param method method
   * @return hexadecimal text
   */
  public static String receipt(String key, String method) {
    return sha256(key + "\n" + method);
  }

  /** Finalizer of SplitMix64. */
  private static long mix64(long z) {
    long a = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    long b = (a ^ (a >>> 27)) * 0x94D049BB133111EBL;
    return b ^ (b >>> 31);
  }
}
