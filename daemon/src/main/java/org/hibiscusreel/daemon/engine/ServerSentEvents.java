package org.hibiscusreel.daemon.engine;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Splits a byte stream into server-sent events. Not thread-safe. */
final class ServerSentEvents {

  /** An engine's chunk holds a few tokens; a longer line means a broken or hostile engine. */
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

  ServerSentEvents(Handler handler) {
    this.handler = handler;
  }

  /** Takes the next bytes and reports the events that they complete. */
  void accept(byte[] bytes) throws IOException {
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        onLine(takeLine(bytes, start, i));
        start = i + 1;
      }
    }
    line.write(bytes, start, bytes.length - start);
    if (line.size() > MAX_LINE_BYTES) {
      throw new IOException("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }
  }

  private String takeLine(byte[] bytes, int start, int end) throws IOException {
    if (line.size() + end - start > MAX_LINE_BYTES) {
      throw new IOException("a line is longer than " + MAX_LINE_BYTES + " bytes");
    }
    if (line.size() == 0) {
      return new String(bytes, start, end - start, StandardCharsets.UTF_8);
    }
    line.write(bytes, start, end - start);
    String whole = line.toString(StandardCharsets.UTF_8);
    line.reset();
    return whole;
  }

  private void onLine(String raw) throws IOException {
    String l = raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw;
    if (l.isEmpty()) {
      dispatch();
    } else if (l.startsWith("id:")) {
      id = l.substring("id:".length()).strip();
    } else if (l.startsWith("data:")) {
      if (data.length() > 0) {
        data.append('\n');
      }
      data.append(l.substring("data:".length()).strip());
      if (data.length() > MAX_LINE_BYTES) {
        throw new IOException("an event is longer than " + MAX_LINE_BYTES + " bytes");
      }
    }
  }

  private void dispatch() throws IOException {
    if (data.length() == 0) {
      return;
    }
    String d = data.toString();
    String i = id;
    data.setLength(0);
    id = "";
    handler.onEvent(i, d);
  }
}
