package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 server on a loopback address, one thread for each connection. */
final class Http implements AutoCloseable {

  /** One request that was read as a whole. */
  record Request(String method, String target, List<String[]> headers, byte[] body) {

    /** Returns the first value of a field, or null. */
    String header(String name) {
      for (String[] h : headers) {
        if (h[0].equalsIgnoreCase(name)) {
          return h[1];
        }
      }
      return null;
    }
  }

  /** One connection of the server. */
  static final class Connection {
    final Socket socket;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(bytes);
      out.flush();
    }

    /** Closes the connection with a reset. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }

    /** Tells whether the peer has closed the connection; reads nothing else in this protocol. */
    boolean isPeerGone(int waitMillis) {
      try {
        socket.setSoTimeout(Math.max(1, waitMillis));
        return socket.getInputStream().read() < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }
  }

  /** Answers a request; returns false if the connection ends with it. */
  interface Handler {
    boolean handle(Request request, Connection connection) throws Exception;
  }

  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private ServerSocket server;
  private final InetSocketAddress address;

  Http(String ip, Handler handler) throws IOException {
    this.handler = handler;
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
    this.address = (InetSocketAddress) server.getLocalSocketAddress();
    accept(server);
  }

  String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void accept(ServerSocket from) {
    Thread t =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket s = from.accept();
                  s.setTcpNoDelay(true);
                  open.add(s);
                  Thread c = new Thread(() -> serve(s));
                  c.setDaemon(true);
                  c.start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    t.setDaemon(true);
    t.start();
  }

  private void serve(Socket s) {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      Connection c = new Connection(s);
      Request r = read(in);
      while (r != null && handler.handle(r, c) && !s.isClosed()) {
        s.setSoTimeout(0);
        r = read(in);
      }
    } catch (Exception e) {
      // The peer has ended the connection, or the server has crashed on purpose.
    } finally {
      open.remove(s);
    }
  }

  /** Ends the listener and resets all connections, like a process that crashes. */
  void crash() throws IOException {
    server.close();
    for (Socket s : open) {
      new Connection(s).reset();
    }
    open.clear();
  }

  /** Listens again at the same address. */
  void restart() throws IOException {
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(address, 200);
    accept(server);
  }

  @Override
  public void close() throws IOException {
    crash();
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    while (c >= 0 && c != '\n') {
      if (c != '\r') {
        b.write(c);
      }
      c = in.read();
    }
    return b.toString(StandardCharsets.ISO_8859_1);
  }

  static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    String[] words = first.split(" ");
    List<String[]> headers = readHeaders(in);
    return new Request(words[0], words[1], headers, readBody(in, headers, false));
  }

  static List<String[]> readHeaders(InputStream in) throws IOException {
    List<String[]> headers = new ArrayList<>();
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      headers.add(new String[] {l.substring(0, colon).trim(), l.substring(colon + 1).trim()});
    }
    return headers;
  }

  private static byte[] readBody(InputStream in, List<String[]> headers, boolean toEnd)
      throws IOException {
    for (String[] h : headers) {
      if (h[0].equalsIgnoreCase("Content-Length")) {
        byte[] body = in.readNBytes(Integer.parseInt(h[1]));
        if (body.length < Integer.parseInt(h[1])) {
          throw new IOException("the body was cut off");
        }
        return body;
      }
      if (h[0].equalsIgnoreCase("Transfer-Encoding") && h[1].equalsIgnoreCase("chunked")) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
          String size = line(in);
          if (size == null) {
            throw new IOException("the chunks were cut off");
          }
          int n = Integer.parseInt(size.split(";")[0].trim(), 16);
          byte[] chunk = in.readNBytes(n);
          body.write(chunk);
          if (chunk.length < n || line(in) == null) {
            throw new IOException("the chunks were cut off");
          }
          if (n == 0) {
            return body.toByteArray();
          }
        }
      }
    }
    return toEnd ? in.readAllBytes() : new byte[0];
  }

  /** Reads the final response to a request; null if the connection ended before its head. */
  static Answer readAnswer(InputStream in) {
    int status = 0;
    List<String[]> headers = List.of();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      String first = line(in);
      if (first == null) {
        return new Answer(0, headers, new byte[0], false);
      }
      status = Integer.parseInt(first.split(" ")[1]);
      headers = readHeaders(in);
      readBodyTo(in, headers, body);
      return new Answer(status, headers, body.toByteArray(), true);
    } catch (IOException | RuntimeException e) {
      return new Answer(status, headers, body.toByteArray(), false);
    }
  }

  private static void readBodyTo(InputStream in, List<String[]> headers, ByteArrayOutputStream to)
      throws IOException {
    for (String[] h : headers) {
      if (h[0].equalsIgnoreCase("Transfer-Encoding")) {
        while (true) {
          String size = line(in);
          if (size == null) {
            throw new IOException("cut off");
          }
          int n = Integer.parseInt(size.split(";")[0].trim(), 16);
          byte[] chunk = in.readNBytes(n);
          to.write(chunk);
          if (chunk.length < n || line(in) == null) {
            throw new IOException("cut off");
          }
          if (n == 0) {
            return;
          }
        }
      }
    }
    to.write(readBody(in, headers, true));
  }

  /**
   * Response that a client has read.
   *
   * @param status status, 0 if the connection ended before it
   * @param complete whether the whole body arrived
   */
  record Answer(int status, List<String[]> headers, byte[] body, boolean complete) {

    String header(String name) {
      for (String[] h : headers) {
        if (h[0].equalsIgnoreCase(name)) {
          return h[1];
        }
      }
      return null;
    }

    /** Returns the number of events of a stream. */
    int events() {
      int n = 0;
      String text = new String(body, StandardCharsets.ISO_8859_1);
      for (int i = text.indexOf("\n\n"); i >= 0; i = text.indexOf("\n\n", i + 2)) {
        n++;
      }
      return n;
    }
  }
}
