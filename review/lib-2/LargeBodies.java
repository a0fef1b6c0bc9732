import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six clients come at once, each with a body of the largest size that the configuration allows,
 * while others wait on kept connections for requests that may not be repeated. Without trouble, the
 * six come one after the other.
 */
final class LargeBodies {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final int BODY_BYTES = 4_194_304;
  private static final int UPLOADS = 6;
  private static final int WAITING = 8;

  /** Requests from kept connections that end without an answer, above which LOST is broken. */
  private static final int ALLOWED = 3;

  private final Record record;
  private final boolean trouble;
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final CountDownLatch allRun = new CountDownLatch(WAITING);

  private LargeBodies(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Record.newFolder();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new LargeBodies(record, trouble).run(folder);
      } catch (IOException | RuntimeException e) {
        record.line("could not run: %s", e);
        e.printStackTrace();
      }
    }
    System.exit(status == 1 ? Record.BROKEN : status);
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
        + "\"path_prefix\":\"/puxa403/\",\"kind\":\"non_idempotent\",\"timeout_ms\":8000,"
        + "\"target_latency_ms\":600,\"priority\":0,\"service\":\"app\",\"max_attempts\":1,"
        + "\"public\":false}],"
        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\""
        + KEY
        + "\"],\"priority\":1}]}";
  }

  private void answer(Wire.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.head().field("Attempt-Id");
    record.line("engine runs %s, %d bytes", id, request.body().length);
    if (id.startsWith("slow")) {
      allRun.countDown();
      Thread.sleep(2_500);
    }
    String head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nServer-Seal: s.1\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone";
    out.write(head.getBytes(StandardCharsets.US_ASCII));
  }

  private static byte[] request(String id, int bodyBytes) {
    byte[] head =
        ("POST /puxa403/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                + id
                + "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer "
                + KEY
                + "\r\nContent-Length: "
                + bodyBytes
                + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(head, head.length + bodyBytes);
    Arrays.fill(all, head.length, all.length, (byte) 'x');
    return all;
  }

  /** Sends a short request, then one that takes a while on the same connection. */
  private void waitOnKeptConnection(Daemon daemon, int number) {
    String id = String.format("slow%012d", number);
    try (Socket s = daemon.connect()) {
      s.setSoTimeout(9_000);
      Wire.Message first = Wire.call(s, request(String.format("fast%012d", number), 100));
      record.line("first request on connection %d: %s", number, first.head().status());
      Wire.Message second = Wire.call(s, request(id, 100));
      if (second != null && second.complete()) {
        answered.incrementAndGet();
        record.line("%s is answered: %d", id, second.head().status());
        return;
      }
      record.line("%s: the connection ended without a complete answer", id);
    } catch (IOException e) {
      record.line("%s: the connection ended without a complete answer (%s)", id, e.getMessage());
    }
    unanswered.incrementAndGet();
  }

  private void upload(Daemon daemon, int number) {
    String id = String.format("large%011d", number);
    try (Socket s = daemon.connect()) {
      s.setSoTimeout(9_000);
      Wire.Message m = Wire.call(s, request(id, BODY_BYTES));
      record.line("%s: %s", id, m == null ? "no answer" : "status " + m.head().status());
    } catch (IOException e) {
      record.line("%s: no answer (%s)", id, e.getMessage());
    }
  }

  private int run(Path folder) throws IOException, InterruptedException {
    try (Store store = new Store();
        Engine one = new Engine("i-app00001", "app", "v1", this::answer);
        Engine two = new Engine("i-app00002", "app", "v1", this::answer)) {
      store.put("op", "config", configuration());
      one.register(store);
      two.register(store);
      try (Daemon daemon = new Daemon(folder, store.newDoor().address())) {
        daemon.start();
        daemon.awaitReady();
        // A machine is in touch when its process has run for contact_ms, 3 s.
        Thread.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
          int number = i;
          threads.add(Engine.thread("client", () -> waitOnKeptConnection(daemon, number)));
        }
        if (!allRun.await(5, TimeUnit.SECONDS)) {
          throw new IOException("the requests from kept connections do not run");
        }
        record.line("%d requests from kept connections run", WAITING);
        for (int i = 0; i < UPLOADS; i++) {
          int number = i;
          Thread t = Engine.thread("client", () -> upload(daemon, number));
          if (trouble) {
            threads.add(t);
          } else {
            t.join(10_000);
          }
        }
        for (Thread t : threads) {
          t.join(12_000);
        }
        Thread.sleep(200);
        boolean ended = !daemon.isAlive();
        if (ended) {
          record.line("the daemon has ended by itself, exit status %d", daemon.exitValue());
          daemon.logLines("OutOfMemory").forEach(l -> record.line("daemon: %s", l));
        }
        record.line(
            "%d of %d requests from kept connections that an engine runs were answered, %d ended"
                + " without an answer (%d allowed)",
            answered.get(), WAITING, unanswered.get(), ALLOWED);
        return unanswered.get() > ALLOWED ? 1 : 0;
      }
    }
  }
}
