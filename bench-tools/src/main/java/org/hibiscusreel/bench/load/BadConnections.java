package org.hibiscusreel.bench.load;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Idle and misbehaving connections that stay open during a load. */
final class BadConnections implements AutoCloseable {

  private static final int CONNECT_MILLIS = 2000;
  private static final int LARGE_BYTES = 256 << 10;

  private final InetSocketAddress target;
  private final List<Socket> open = new ArrayList<>();
  private int failed;

  BadConnections(String address) {
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

  /** Opens connections that send half a header, a body above any limit, or garbage, in turn. */
  void openMisbehaving(int count, long seed) {
    String post = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
    Random random = new Random(seed);
    for (int i = 0; i < count; i++) {
      switch (i % 3) {
        case 0 -> open(post + "Autho", 0);
        case 1 -> open(post + "Content-Length: 1000000000\r\n\r\n", LARGE_BYTES);
        default -> {
          byte[] garbage = new byte[512];
          random.nextBytes(garbage);
          open(new String(garbage, StandardCharsets.ISO_8859_1), 0);
        }
      }
    }
  }

  /** Returns the connections that could not be opened or were closed while sending. */
  int failed() {
    return failed;
  }

  private void open(String text, int moreBytes) {
    Socket s = new Socket();
    open.add(s);
    try {
      s.connect(target, CONNECT_MILLIS);
      OutputStream out = s.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.write(new byte[moreBytes]);
      out.flush();
    } catch (IOException e) {
      failed++;
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket s : open) {
      s.close();
    }
  }
}
