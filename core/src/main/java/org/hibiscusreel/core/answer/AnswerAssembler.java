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
 * Assembles a response from chunks. Accepts only chunks of the current attempt, delivers each of
 * them once and in order, and computes the length and SHA-256 digest of the delivered text. Not
 * thread-safe.
 */
public final class AnswerAssembler {
  /** Largest number of chunks buffered while an earlier one is missing. */
  public static final int MAX_BUFFERED_CHUNKS = 256;

  private final Map<Long, String> buffered = new HashMap<>();
  private String streamId = "";
  private long nextOffset;
  private long lengthBytes;
  private MessageDigest digest = newDigest();

  /**
   * Starts an attempt and discards the chunks of the previous one.
   *
   * @param newStreamId stream identifier of the attempt, not empty
   * @throws IllegalArgumentException if the identifier is empty
   */
  public void beginAttempt(String newStreamId) {
    if (newStreamId.isEmpty()) {
      throw new IllegalArgumentException("newStreamId must not be empty");
    }
    streamId = newStreamId;
    buffered.clear();
    nextOffset = 0;
    lengthBytes = 0;
    digest = newDigest();
  }

  /**
   * Processes a chunk.
   *
   * @param chunkStreamId stream identifier of the attempt that the chunk belongs to
   * @param offset index of the chunk, from 0
   * @param text text of the chunk
   * @return the result
   */
  public ChunkResult accept(String chunkStreamId, long offset, String text) {
    Objects.requireNonNull(text, "text");
    if (!streamId.equals(chunkStreamId)) {
      return new ChunkResult.Foreign();
    }
    if (offset < nextOffset || buffered.containsKey(offset)) {
      return new ChunkResult.Duplicate();
    }
    if (offset > nextOffset && buffered.size() >= MAX_BUFFERED_CHUNKS) {
      return new ChunkResult.TooFarAhead();
    }
    buffered.put(offset, text);
    List<String> deliverable = new ArrayList<>();
    for (String t = buffered.remove(nextOffset); t != null; t = buffered.remove(nextOffset)) {
      append(t);
      deliverable.add(t);
    }
    return new ChunkResult.Accepted(List.copyOf(deliverable));
  }

  private void append(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    lengthBytes += bytes.length;
    digest.update(bytes);
    nextOffset++;
  }

  /**
   * Tells whether the response is complete.
   *
   * @param chunkStreamId stream identifier of the attempt that the end marker belongs to
   * @param chunks number of chunks according to the end marker
   * @return true if exactly this number of chunks of the current attempt was delivered
   */
  public boolean isComplete(String chunkStreamId, long chunks) {
    return streamId.equals(chunkStreamId) && nextOffset == chunks && buffered.isEmpty();
  }

  /**
   * Returns the index of the first chunk that was not delivered, at which a resumed stream must
   * start.
   *
   * @return 0 or more
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the length of the delivered text.
   *
   * @return length in UTF-8 bytes
   */
  public long lengthBytes() {
    return lengthBytes;
  }

  /**
   * Returns the digest of the delivered text.
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
