import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Stand-in for an engine on a port of its own. What it does with a request that is meant for it is
 * given; others get 421.
 */
final class Engine implements AutoCloseable {

  /** Answers a request. */
  interface Handler {
    void handle(Wire.Message request, OutputStream out) throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  final String version;
  private final ServerSocket server;
  private final Handler handler;
  private final long born = System.currentTimeMillis();

  Engine(String id, String service, String version, Handler handler) throws IOException {
    this.id = id;
    this.service = service;
    this.version = version;
    this.handler = handler;
    this.server = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
    thread("engine " + id, this::accept);
  }

  static Thread thread(String name, Runnable task) {
    Thread t = new Thread(null, task, name, 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }

  /** Returns what the engine writes into the store. */
  String row(String state) {
    return String.format(
        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z-a\",\"version\":\"%s\","
            + "\"slots\":64,\"state\":\"%s\",\"cold_left_ms\":0,\"call_seq\":1,\"born\":%d}",
        service, server.getLocalPort(), version, state, born);
  }

  void register(Store store) {
    store.put("servers", id, row("ready"));
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        s.setTcpNoDelay(true);
        thread("engine connection", () -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      while (true) {
        Wire.Head head = Wire.readHead(socket.getInputStream());
        if (head == null) {
          return;
        }
        Wire.Message request = Wire.readBody(head, socket.getInputStream());
        if (!request.complete()) {
          return;
        }
        OutputStream out = socket.getOutputStream();
        String expected = head.field("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          out.write(
              ("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "
                      + head.field("Attempt-Id")
                      + "\r\nServed-By: "
                      + id
                      + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes());
        } else {
          handler.handle(request, out);
        }
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // The daemon closed the connection.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
