import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Streams of a prepaid tenant, and the tokens that it got. */
final class Budgets {

  static final int PROMPT = 2_000;
  static final int EVENTS = 20;
  static final int STRIDE = 5;

  /** Tokens of prompts that engines have read, once for each request, and of delivered events. */
  static final AtomicLong got = new AtomicLong();

  private static final AtomicInteger ids = new AtomicInteger();

  private Budgets() {}

  /** Serves a stream: its prompt counts when the engine begins. */
  static void stream(Kit.Engine engine, Kit.Message m, Socket s) throws IOException {
    int run = engine.run(m);
    Kit.note("run %s at %s", m.field("Attempt-Id"), engine.id);
    if (run == 1) {
      got.addAndGet(PROMPT);
    }
    OutputStream out = s.getOutputStream();
    out.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: " + m.field("Attempt-Id") + "\r\nServer-Seal: s\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    for (int i = 1; i <= EVENTS; i++) {
      String e = "id: " + i + "\ndata: x\n\n";
      out.write((Integer.toHexString(e.length()) + "\r\n" + e + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      Kit.sleep(5);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Sends a request and returns its status, 0 if there was no response. */
  static int send(Kit.Daemon d, String path) {
    String id = "r" + ids.incrementAndGet();
    Kit.note("send %s to %s, at most %d tokens", id, d.name, PROMPT + EVENTS * STRIDE);
    int status = call(d, path, id);
    Kit.note("answer %s: %d", id, status);
    return status;
  }

  private static int call(Kit.Daemon d, String path, String id) {
    try (Socket s = d.connect()) {
      s.setSoTimeout(8_000);
      String head =
          Kit.head("POST", path, id, 8_000) + "Model: m\r\nToken-Usage: " + PROMPT + "," + EVENTS * STRIDE
              + "\r\nPrompt-Prefix: aa:1000,b" + id + ":1000\r\nContent-Length: 0\r\n\r\n";
      s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = s.getInputStream();
      Kit.Message m = Kit.readMessage(in, true);
      if (m == null) {
        return 0;
      }
      if (m.status() == 200) {
        int events = new String(m.body(), StandardCharsets.ISO_8859_1).split("id: ", -1).length - 1;
        got.addAndGet((long) events * STRIDE);
      }
      return m.status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Sends requests to daemons in turn, some at a time, and returns how many were served. */
  static int sendMany(List<Kit.Daemon> daemons, int count, int atOnce, String label) {
    ExecutorService pool = Executors.newFixedThreadPool(atOnce, Kit::daemonThread);
    List<Future<Integer>> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Kit.Daemon d = daemons.get(i % daemons.size());
      all.add(pool.submit(() -> send(d, "/draft/x")));
    }
    java.util.Map<Integer, Integer> byStatus = new java.util.TreeMap<>();
    for (Future<Integer> f : all) {
      try {
        byStatus.merge(f.get(), 1, Integer::sum);
      } catch (Exception e) {
        byStatus.merge(-1, 1, Integer::sum);
      }
    }
    pool.shutdown();
    Kit.log("%s: %d requests, by status %s, tokens so far %d", label, count, byStatus, got.get());
    return byStatus.getOrDefault(200, 0);
  }
}
