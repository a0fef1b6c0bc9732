package org.hibiscusreel.coordination.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts the bytes of a stream into whole events. An upstream may stop in the middle of an event, and
 * what another one continues must begin with a whole event. Not thread-safe.
 */
final class EventFramer {

  /** Receives whole events. */
  @FunctionalInterface
  interface Sink {

    /**
     * Takes an event.
     *
     * @param id identity of the event, or empty
     * @param bytes the event with the blank line that ends it
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

  /** Takes bytes of the stream. */
  void accept(byte[] bytes) {
    for (byte b : bytes) {
      line.write(b);
      if (b == '\n') {
        onLine();
      }
    }
  }

  /** Tells whether bytes of an event wait that is not whole. */
  boolean isInsideEvent() {
    return event.size() > 0 || line.size() > 0;
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
