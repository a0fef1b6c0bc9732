package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One connection of a client, kept open for several requests. */
final class Client implements AutoCloseable {

  private static long sequence = System.nanoTime();

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(Daemon daemon) throws IOException {
    socket.connect(new InetSocketAddress(daemon.ip, Daemon.FRONT), 1000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static synchronized String newId() {
    return String.format("%016x", ++sequence);
  }

  void send(String method, String path, String id, String key, long deadline,
      Map<String, String> more, byte[] body) throws IOException {
    StringBuilder b = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n");
    b.append("Attempt-Id: " + id + "\r\nDeadline-Ms: " + deadline + "\r\n");
    b.append("Authorization: Bearer " + key + "\r\n");
    more.forEach((k, v) -> b.append(k + ": " + v + "\r\n"));
    if (!method.equals("GET")) {
      b.append("Content-Length: " + body.length + "\r\n");
    }
    b.append("\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(b.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    socket.setSoTimeout((int) deadline + 2000);
    socket.getOutputStream().write(all.toByteArray());
    socket.getOutputStream().flush();
  }

  Http.Answer receive() {
    return Http.readAnswer(in);
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }
}
