import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * While a daemon stops as planned, a sound engine is silent for 1.5 s and goes on, and the other
 * engine of the service is full. Without trouble, the first engine is not silent.
 */
final class SilentEngine {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final int STREAMS = 16;
  private static final int EVENTS = 18;
  private static final long PAUSE_MILLIS = 200;
  private static final long SILENCE_MILLIS = 1_500;

  private final Record record;
  private final boolean trouble;
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger brokenOff = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile boolean isFull;
  private volatile long silentUntilNanos = System.nanoTime();

  private SilentEngine(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Record.newFolder();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new SilentEngine(record, trouble).run(folder);
      } catch (IOException | RuntimeException e) {
        record.line("could not run: %s", e);
        e.printStackTrace();
      }
    }
    System.exit(status == 1 ? Record.BROKEN : status);
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
        + "\"path_prefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
        + "\"target_latency_ms\":600,\"priority\":0,\"service\":\"pool\",\"max_attempts\":2,"
        + "\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":250}],"
        + "\"services\":[{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":370,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
        + "\"kv_capacity_tokens\":447736,\"stride\":5,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\""
        + KEY
        + "\"],\"priority\":1}]}";
  }

  private void generate(Wire.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.head().field("Attempt-Id");
    String last = request.head().field("Last-Event-Id");
    int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    record.line("engine 1 runs %s from event %d", id, from);
    write(
        out,
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nServer-Seal: s.1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = from; i <= EVENTS; i++) {
      long silentMillis = (silentUntilNanos - System.nanoTime()) / 1_000_000;
      Thread.sleep(Math.max(PAUSE_MILLIS, silentMillis));
      String event = "id: " + i + "\ndata: piece " + i + "\n\n";
      try {
        write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      } catch (IOException e) {
        record.line("engine 1: the daemon has closed the connection of %s before event %d", id, i);
        throw e;
      }
    }
    write(out, "0\r\n\r\n");
    record.line("engine 1 has sent the whole stream %s", id);
  }

  /** Runs a request like the first engine, or turns it away while all slots are taken. */
  private void generateUnlessFull(Wire.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.head().field("Attempt-Id");
    if (!isFull) {
      throw new IOException("no request may come before the engine is full");
    }
    record.line("engine 2 is full and turns %s away", id);
    write(
        out,
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "
            + id
            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private void stream(Daemon daemon, int number) {
    String id = String.format("9c41d07be2a%05d", number);
    String request =
        "POST /lohu930/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
            + id
            + "\r\nModel: m\r\nToken-Usage: 1460,120\r\nPrompt-Prefix: "
            + String.format("%08x", number)
            + ":1460\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer "
            + KEY
            + "\r\nContent-Length: 2\r\n\r\n{}";
    int events = 0;
    try (Socket s = daemon.connect()) {
      s.setSoTimeout(8_000);
      write(s.getOutputStream(), request);
      Wire.Head head = Wire.readHead(s.getInputStream());
      if (head != null && head.status() != 200) {
        refused.incrementAndGet();
        record.line("%s gets status %d", id, head.status());
        return;
      }
      while (head != null) {
        String size = Wire.readLine(s.getInputStream());
        if (size == null) {
          break;
        }
        int n = Integer.parseInt(size, 16);
        s.getInputStream().readNBytes(n);
        Wire.readLine(s.getInputStream());
        if (n == 0) {
          complete.incrementAndGet();
          record.line("%s is complete", id);
          return;
        }
        events++;
      }
    } catch (IOException e) {
      record.line("%s: %s", id, e.getMessage());
    }
    brokenOff.incrementAndGet();
    record.line("%s: the connection ended after %d of %d events", id, events, EVENTS);
  }

  private int run(Path folder) throws IOException, InterruptedException {
    try (Store store = new Store();
        Engine one = new Engine("i-eng00001", "pool", "v1", this::generate);
        Engine two = new Engine("i-eng00002", "pool", "v1", this::generateUnlessFull)) {
      store.put("op", "config", configuration());
      one.register(store);
      try (Daemon daemon = new Daemon(folder, store.newDoor().address())) {
        daemon.start();
        daemon.awaitReady();
        Thread.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
          int number = i;
          threads.add(Engine.thread("client", () -> stream(daemon, number)));
          Thread.sleep(20);
        }
        Thread.sleep(500);
        isFull = true;
        two.register(store);
        record.line("engine 2 has registered; all its slots are taken by others");
        Thread.sleep(500);
        daemon.terminate();
        record.line("SIGTERM");
        Thread.sleep(500);
        if (trouble) {
          silentUntilNanos = System.nanoTime() + SILENCE_MILLIS * 1_000_000;
          record.line("engine 1 is silent for %d ms", SILENCE_MILLIS);
        }
        for (Thread t : threads) {
          t.join(10_000);
        }
        record.line(
            "%d streams are complete, %d were refused, %d ended without a complete answer"
                + " (0 allowed)",
            complete.get(), refused.get(), brokenOff.get());
        if (complete.get() + brokenOff.get() < STREAMS) {
          return 2;
        }
        return brokenOff.get() > 0 ? 1 : 0;
      }
    }
  }
}
