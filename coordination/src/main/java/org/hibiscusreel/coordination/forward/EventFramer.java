package org.hibiscusreel.coordination.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits the bytes of a stream into complete server-sent events. An upstream may stop in the middle
 * of an event, and a stream that another upstream resumes must continue with a complete event. Not
 * thread-safe.
 */
final class EventFramer {

  /** Receives complete events. */
  @FunctionalInterface
  interface Sink {

    /**
     * Receives an event.
     *
     * @param id value of the event's {@code id} field, or empty
     * @param bytes bytes of the event including the terminating blank line
     */
    void onEvent(String id, byte[] bytes);
  }

  private static final String ID_FIELD = "id:";

  private final Sink sink;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private String id = "";

  EventFramer(Sink sink) {
    this.sink = sink;
  }

  /** Processes the next bytes of the stream. */
  void accept(byte[] bytes) {
    for (byte b : bytes) {
      line.write(b);
      if (b == '\n') {
        onLine();
      }
    }
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return bufferedBytes() > 0;
  }

  /** Returns the number of buffered bytes of an incomplete event. */
  long bufferedBytes() {
    return (long) event.size() + line.size();
  }

  private void onLine() {
    byte[] bytes = line.toByteArray();
    line.reset();
    event.writeBytes(bytes);
    String text = new String(bytes, StandardCharsets.UTF_8).strip();
    if (!text.isEmpty()) {
      if (text.startsWith(ID_FIELD)) {
        id = text.substring(ID_FIELD.length()).strip();
      }
      return;
    }
    byte[] whole = event.toByteArray();
    String eventId = id;
    event.reset();
    id = "";
    sink.onEvent(eventId, whole);
  }
}
