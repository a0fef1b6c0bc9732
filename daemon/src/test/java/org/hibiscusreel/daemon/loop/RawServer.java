package org.hibiscusreel.daemon.loop;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Server that reads the headers of one request per connection and then runs a handler of the test.
 */
public final class RawServer implements AutoCloseable {

  /** Handles the connections of a test. */
  @FunctionalInterface
  public interface Handler {

    /** Handles a connection, which is closed afterwards. */
    void handle(String requestLine, Socket socket, OutputStream out) throws Exception;
  }

  private final ServerSocket server;
  private final Handler handler;
  private final List<String> requestLines = new CopyOnWriteArrayList<>();

  /** Starts a server on a free port. */
  public RawServer(Handler behaviour) throws IOException {
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.handler = behaviour;
    startThread(this::accept);
  }

  /** Returns a handler that sends a complete response. */
  public static Handler respond(String status, String body) {
    return (line, socket, out) ->
        out.write(
            ("HTTP/1.1 "
                    + status
                    + "\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length
                    + "\r\nConnection: close\r\n\r\n"
                    + body)
                .getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a handler that sends a response whose body has no length and is this large. */
  public static Handler respondWithoutLength(int bodyBytes) {
    return (line, socket, out) -> {
      out.write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      out.write(new byte[bodyBytes]);
    };
  }

  /** Returns the IP address and the port. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the request lines received. */
  public List<String> requestLines() {
    return requestLines;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        startThread(() -> handle(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void handle(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      String line = in.readLine();
      requestLines.add(line);
      String header = line;
      while (header != null && !header.isEmpty()) {
        header = in.readLine();
      }
      handler.handle(line, socket, socket.getOutputStream());
      socket.getOutputStream().flush();
      socket.shutdownOutput();
      socket.setSoTimeout(500);
      socket.getInputStream().skip(Long.MAX_VALUE);
    } catch (Exception e) {
      // The client closed the connection, which several tests do on purpose.
      return;
    }
  }

  private static void startThread(Runnable task) {
    Thread t = new Thread(task, "raw-server");
    t.setDaemon(true);
    t.start();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
