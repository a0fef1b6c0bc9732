package org.hibiscusreel.core.answer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Assembles one response. Accepts chunks of the current attempt only, delivers them in order, each
 * once, and keeps the running length and SHA-256 of what was delivered. Not thread-safe.
 */
public final class AnswerAssembler {
  /** Largest number of chunks held while an earlier one is missing. */
  public static final int MAX_HELD = 256;

  private final Map<Long, String> held = new HashMap<>();
  private String streamId = "";
  private long next;
  private long lengthBytes;
  private MessageDigest digest = newDigest();

  /**
   * Starts an attempt and forgets the chunks of the previous one.
   *
   * @param newStreamId stream identifier of the attempt, not empty
   * @throws IllegalArgumentException if the identifier is empty
   */
  public void begin(String newStreamId) {
    if (newStreamId.isEmpty()) {
      throw new IllegalArgumentException("newStreamId must not be empty");
    }
    streamId = newStreamId;
    held.clear();
    next = 0;
    lengthBytes = 0;
    digest = newDigest();
  }

  /**
   * Takes a chunk.
   *
   * @param from stream identifier of the attempt that the chunk belongs to
   * @param offset number of the chunk, from 0
   * @param text text of the chunk
   * @return what became of it
   */
  public ChunkResult accept(String from, long offset, String text) {
    Objects.requireNonNull(text, "text");
    if (!streamId.equals(from)) {
      return new ChunkResult.Foreign();
    }
    if (offset < next || held.containsKey(offset)) {
      return new ChunkResult.Duplicate();
    }
    if (offset > next && held.size() >= MAX_HELD) {
      return new ChunkResult.TooFarAhead();
    }
    held.put(offset, text);
    List<String> ready = new ArrayList<>();
    for (String t = held.remove(next); t != null; t = held.remove(next)) {
      append(t);
      ready.add(t);
    }
    return new ChunkResult.Accepted(List.copyOf(ready));
  }

  private void append(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    lengthBytes += bytes.length;
    digest.update(bytes);
    next++;
  }

  /**
   * Tells whether the response is complete.
   *
   * @param from stream identifier of the attempt that the end marker belongs to
   * @param chunks number of chunks that the end marker states
   * @return true if exactly these chunks of the current attempt were delivered
   */
  public boolean isComplete(String from, long chunks) {
    return streamId.equals(from) && next == chunks && held.isEmpty();
  }

  /**
   * Returns the first chunk that was not delivered, where a resumed stream must start.
   *
   * @return 0 or more
   */
  public long nextOffset() {
    return next;
  }

  /**
   * Returns the length of the text delivered.
   *
   * @return length in UTF-8 bytes
   */
  public long lengthBytes() {
    return lengthBytes;
  }

  /**
   * Returns the digest of the text delivered.
   *
   * @return SHA-256 in hexadecimal
   */
  public String sha256() {
    try {
      return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("SHA-256 can't be cloned", e);
    }
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
