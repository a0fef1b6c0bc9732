package org.hibiscusreel.testsupport;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.LockSupport;

/** What a client sends on one connection that a server has to bear. */
public enum ClientForm {
  /** A whole head that is larger than any limit. */
  HEAD_OVER_LIMIT,
  /** A large head that lacks its end. */
  HEAD_CUT_SHORT,
  /** Short fields without end. */
  FIELDS_WITHOUT_END,
  /** One field without end. */
  FIELD_WITHOUT_END,
  /** A request line without end. */
  REQUEST_LINE_WITHOUT_END,
  /** Empty lines without end before a request. */
  EMPTY_LINES_WITHOUT_END,
  /** The request line and nothing more. */
  REQUEST_LINE_ONLY,
  /** A whole body with a length. */
  BODY,
  /** A whole body with a length, piece by piece. */
  BODY_IN_PIECES,
  /** A body with a length that lacks its last byte. */
  BODY_CUT_SHORT,
  /** A body with a length that lacks its last byte, piece by piece. */
  BODY_IN_PIECES_CUT_SHORT,
  /** A whole body in large chunks. */
  LARGE_CHUNKS,
  /** Large chunks of which the last one is missing. */
  LARGE_CHUNKS_CUT_SHORT,
  /** A whole body in chunks of one byte. */
  SMALL_CHUNKS,
  /** Chunks of one byte of which the last one is missing. */
  SMALL_CHUNKS_CUT_SHORT;

  private static final int LONG_VALUE_BYTES = 5_000;
  private static final int LONG_FIELDS = 40;
  private static final int ENDLESS_BLOCKS = 128;
  private static final int ENDLESS_BLOCK_BYTES = 64 * 1024;
  private static final int PIECE_BYTES = 16 * 1024;
  private static final long PIECE_PAUSE_NANOS = 500_000;
  private static final int LARGE_CHUNK_BYTES = 1024 * 1024;

  /** Bodies in chunks of one byte are smaller by this, since each byte needs six of them. */
  private static final int SMALL_CHUNKS_DIVISOR = 16;

  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** Returns whether a request of this form lacks its end, so that nothing answers it. */
  public boolean isUnfinished() {
    return name().endsWith("CUT_SHORT") || name().endsWith("END") || this == REQUEST_LINE_ONLY;
  }

  /**
   * Returns the size of a body of this form.
   *
   * @param largest size of the largest body, in bytes
   * @return size in bytes
   */
  public int bodyBytes(int largest) {
    return name().startsWith("SMALL_CHUNKS") ? largest / SMALL_CHUNKS_DIVISOR : largest;
  }

  /**
   * Sends the bytes.
   *
   * @param out stream to the server
   * @param head request line and fields, each with its line end
   * @param bodyBytes size of a body, in bytes
   * @throws IOException if the server closes the connection before
   */
  public void send(OutputStream out, String head, int bodyBytes) throws IOException {
    switch (this) {
      case HEAD_OVER_LIMIT -> {
        sendLongFields(out, head);
        write(out, "Content-Length: 0\r\n\r\n");
      }
      case HEAD_CUT_SHORT -> sendLongFields(out, head);
      case FIELDS_WITHOUT_END -> repeat(out, head, "A: b\r\n");
      case FIELD_WITHOUT_END -> repeat(out, head + "A: ", "x");
      case REQUEST_LINE_WITHOUT_END -> repeat(out, "POST /", "x");
      case EMPTY_LINES_WITHOUT_END -> repeat(out, "", "\r\n");
      case REQUEST_LINE_ONLY -> write(out, head.substring(0, head.indexOf('\n') + 1));
      case BODY, BODY_CUT_SHORT, BODY_IN_PIECES, BODY_IN_PIECES_CUT_SHORT ->
          sendBody(out, head, bodyBytes);
      case LARGE_CHUNKS, LARGE_CHUNKS_CUT_SHORT -> sendLargeChunks(out, head, bodyBytes);
      case SMALL_CHUNKS, SMALL_CHUNKS_CUT_SHORT -> {
        write(out, head + CHUNKED);
        write(out, "1\r\nx\r\n".repeat(bodyBytes(bodyBytes)));
        sendLastChunk(out);
      }
      default -> throw new AssertionError(this);
    }
  }

  private static void sendLongFields(OutputStream out, String head) throws IOException {
    StringBuilder text = new StringBuilder(head);
    for (int i = 0; i < LONG_FIELDS; i++) {
      text.append("A").append(i).append(": ").append("x".repeat(LONG_VALUE_BYTES)).append("\r\n");
    }
    write(out, text.toString());
  }

  private static void repeat(OutputStream out, String start, String repeated) throws IOException {
    write(out, start);
    String block = repeated.repeat(ENDLESS_BLOCK_BYTES / repeated.length());
    for (int i = 0; i < ENDLESS_BLOCKS; i++) {
      write(out, block);
    }
  }

  private void sendBody(OutputStream out, String head, int bodyBytes) throws IOException {
    write(out, head + "Content-Length: " + bodyBytes + "\r\n\r\n");
    int sent = isUnfinished() ? bodyBytes - 1 : bodyBytes;
    if (this == BODY || this == BODY_CUT_SHORT) {
      write(out, "x".repeat(sent));
      return;
    }
    byte[] piece = "x".repeat(PIECE_BYTES).getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < sent; i += PIECE_BYTES) {
      out.write(piece, 0, Math.min(PIECE_BYTES, sent - i));
      out.flush();
      LockSupport.parkNanos(PIECE_PAUSE_NANOS);
    }
  }

  private void sendLargeChunks(OutputStream out, String head, int bodyBytes) throws IOException {
    write(out, head + CHUNKED);
    for (int i = 0; i < bodyBytes; i += LARGE_CHUNK_BYTES) {
      int size = Math.min(LARGE_CHUNK_BYTES, bodyBytes - i);
      write(out, Integer.toHexString(size) + "\r\n" + "x".repeat(size) + "\r\n");
    }
    sendLastChunk(out);
  }

  private void sendLastChunk(OutputStream out) throws IOException {
    if (!isUnfinished()) {
      write(out, LAST_CHUNK);
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }
}
