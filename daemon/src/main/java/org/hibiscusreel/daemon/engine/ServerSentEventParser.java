package org.hibiscusreel.daemon.engine;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Parses a byte stream into server-sent events. Not thread-safe. */
final class ServerSentEventParser {

  /**
   * Size limit of a line. A chunk of an engine has a few tokens, so a longer line means a faulty or
   * hostile engine.
   */
  static final int MAX_LINE_BYTES = 1 << 20;

  /** Receives events. */
  @FunctionalInterface
  interface Handler {

    /** Receives an event; {@code id} is empty if the event has none. */
    void onEvent(String id, String data) throws IOException;
  }

  private final Handler handler;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private String id = "";

  ServerSentEventParser(Handler handler) {
    this.handler = handler;
  }

  /** Parses the next bytes and reports the events that they complete. */
  void parse(byte[] bytes) throws IOException {
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        parseLine(completeLine(bytes, start, i));
        start = i + 1;
      }
    }
    line.write(bytes, start, bytes.length - start);
    if (line.size() > MAX_LINE_BYTES) {
      throw new IOException("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }
  }

  private String completeLine(byte[] bytes, int start, int end) throws IOException {
    if (line.size() + end - start > MAX_LINE_BYTES) {
      throw new IOException("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }
    if (line.size() == 0) {
      return new String(bytes, start, end - start, StandardCharsets.UTF_8);
    }
    line.write(bytes, start, end - start);
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    return text;
  }

  private void parseLine(String raw) throws IOException {
    String text = raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw;
    if (text.isEmpty()) {
      dispatchEvent();
    } else if (text.startsWith("id:")) {
      id = text.substring("id:".length()).strip();
    } else if (text.startsWith("data:")) {
      if (data.length() > 0) {
        data.append('\n');
      }
      data.append(text.substring("data:".length()).strip());
      if (data.length() > MAX_LINE_BYTES) {
        throw new IOException("an event is longer than " + MAX_LINE_BYTES + " bytes");
      }
    }
  }

  private void dispatchEvent() throws IOException {
    if (data.length() == 0) {
      return;
    }
    String eventData = data.toString();
    String eventId = id;
    data.setLength(0);
    id = "";
    handler.onEvent(eventId, eventData);
  }
}
