package org.hibiscusreel.bench.load;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Idle and misbehaving connections that stay open during a benchmark phase. */
final class FaultyConnections implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 2000;
  private static final int BODY_BYTES = 256 << 10;

  private final InetSocketAddress target;
  private final List<Socket> open = new ArrayList<>();
  private int failed;

  FaultyConnections(String address) {
    int colon = address.lastIndexOf(':');
    this.target =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Opens connections that send nothing. */
  void openIdle(int count) {
    for (int i = 0; i < count; i++) {
      open("", 0);
    }
  }

  /**
   * Opens connections that send, in turn, an incomplete header, part of a body that exceeds any
   * limit, or random bytes.
   */
  void openMisbehaving(int count, long seed) {
    String post = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
    Random random = new Random(seed);
    for (int i = 0; i < count; i++) {
      switch (i % 3) {
        case 0 -> open(post + "Autho", 0);
        case 1 -> open(post + "Content-Length: 1000000000\r\n\r\n", BODY_BYTES);
        default -> {
          byte[] randomBytes = new byte[512];
          random.nextBytes(randomBytes);
          open(new String(randomBytes, StandardCharsets.ISO_8859_1), 0);
        }
      }
    }
  }

  /** Returns the number of connections that could not be opened or were closed while sending. */
  int failed() {
    return failed;
  }

  private void open(String text, int bodyBytes) {
    Socket socket = new Socket();
    open.add(socket);
    try {
      socket.connect(target, CONNECT_TIMEOUT_MILLIS);
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.write(new byte[bodyBytes]);
      out.flush();
    } catch (IOException e) {
      failed++;
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : open) {
      socket.close();
    }
  }
}
