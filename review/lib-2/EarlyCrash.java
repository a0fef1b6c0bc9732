import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts crashes each engine as it begins to write an answer, before a byte has left. Four
 * requests with that part come within 0.3 s, and four more at once a while later. Without trouble, the part does
 * no harm.
 */
final class EarlyCrash {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final String DEADLY = "dead0001";
  private static final int ENGINES = 12;
  private static final int AT_ONCE = 4;
  private static final long DOWN_MILLIS = 2_500;
  private static final long PREFILL_MILLIS = 60;
  private static final long CONTACT_MILLIS = 3_000;
  private static final int CRASHES = 5;

  /** Requests with the part that may reach engines after that time. */
  private static final int ALLOWED = 3;

  private final Record record;
  private final boolean trouble;
  private final List<Long> crashedAt = new CopyOnWriteArrayList<>();
  private final List<Long> arrivedAt = new CopyOnWriteArrayList<>();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger other = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();

  private EarlyCrash(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Record.newFolder();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new EarlyCrash(record, trouble).run(folder);
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

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  /** An engine that ends with all its connections and starts again at its address. */
  private final class CrashingEngine implements AutoCloseable {

    private final String id;
    private final Store store;
    private final int port;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket server;

    CrashingEngine(String id, Store store) throws IOException {
      this.id = id;
      this.store = store;
      this.server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
      this.port = server.getLocalPort();
      start(server);
    }

    private void start(ServerSocket listening) {
      store.put(
          "servers",
          id,
          String.format(
              "{\"service\":\"pool\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z-a\",\"version\":\"v1\","
                  + "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":1,"
                  + "\"born\":%d}",
              port, System.currentTimeMillis()));
      Engine.thread("engine " + id, () -> accept(listening));
    }

    private void accept(ServerSocket listening) {
      while (!listening.isClosed()) {
        try {
          Socket s = listening.accept();
          s.setTcpNoDelay(true);
          connections.add(s);
          Engine.thread("engine connection", () -> serve(s));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket s) {
      try (s) {
        Wire.Head head = Wire.readHead(s.getInputStream());
        if (head == null) {
          return;
        }
        Wire.readBody(head, s.getInputStream());
        String attempt = head.field("Attempt-Id");
        boolean deadly = head.field("Prompt-Prefix").contains(DEADLY);
        if (deadly) {
          arrivedAt.add(nowMillis());
          record.line("engine %s gets %s, which has the part", id, attempt);
        }
        Thread.sleep(PREFILL_MILLIS);
        if (deadly && trouble) {
          crash(attempt);
          return;
        }
        OutputStream out = s.getOutputStream();
        write(
            out,
            "HTTP/1.1 200 OK\r\nAttempt-Id: "
                + attempt
                + "\r\nServer-Seal: s."
                + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= 6; i++) {
          String event = "id: " + i + "\ndata: piece " + i + "\n\n";
          write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
          Thread.sleep(40);
        }
        write(out, "0\r\n\r\n");
      } catch (IOException | InterruptedException e) {
        return;
      } finally {
        connections.remove(s);
      }
    }

    private synchronized void crash(String attempt) throws IOException {
      if (server.isClosed()) {
        return;
      }
      crashedAt.add(nowMillis());
      record.line("engine %s crashes as it begins to answer %s", id, attempt);
      server.close();
      for (Socket c : connections) {
        c.setSoLinger(true, 0);
        c.close();
      }
      Engine.thread("restart", this::restart);
    }

    private void restart() {
      try {
        Thread.sleep(DOWN_MILLIS);
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
        server = again;
        start(again);
      } catch (IOException | InterruptedException e) {
        record.line("engine %s can't start again: %s", id, e);
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private void request(Daemon daemon, String part) {
    int number = sent.incrementAndGet();
    String id = String.format("9c41d07be2a%05d", number);
    String request =
        "POST /lohu930/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
            + id
            + "\r\nModel: m\r\nToken-Usage: 1460,30\r\nPrompt-Prefix: 5c1e07a2:800,"
            + part
            + ":410,"
            + String.format("%08x", number)
            + ":250\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer "
            + KEY
            + "\r\nContent-Length: 2\r\n\r\n{}";
    String end = "no answer";
    try (Socket s = daemon.connect()) {
      s.setSoTimeout(8_000);
      Wire.Message m = Wire.call(s, request.getBytes(StandardCharsets.US_ASCII));
      if (m != null) {
        end = "status " + m.head().status() + (m.complete() ? "" : ", broken off");
      }
    } catch (IOException e) {
      end = "no answer";
    }
    (end.equals("status 200") ? complete : other).incrementAndGet();
    if (part.equals(DEADLY)) {
      record.line("%s, which has the part, sent to %s: %s", id, daemon.name, end);
    }
  }

  /** Sends sound requests, 25 a second to each of the daemons in turn. */
  private void sendSound(List<Daemon> daemons, long millis) throws InterruptedException {
    long end = nowMillis() + millis;
    for (int i = 0; nowMillis() < end; i++) {
      Daemon d = daemons.get(i % daemons.size());
      String part = String.format("500d%04d", i % 40);
      Engine.thread("client", () -> request(d, part));
      Thread.sleep(40);
    }
  }

  private void sendDeadly(List<Daemon> daemons, long gapMillis) throws InterruptedException {
    for (int i = 0; i < AT_ONCE; i++) {
      Daemon d = daemons.get(i % daemons.size());
      Engine.thread("client", () -> request(d, DEADLY));
      Thread.sleep(gapMillis);
    }
  }

  private int run(Path folder) throws IOException, InterruptedException {
    List<CrashingEngine> engines = new ArrayList<>();
    List<Daemon> daemons = new ArrayList<>();
    try (Store store = new Store()) {
      store.put("op", "config", configuration());
      for (int i = 0; i < ENGINES; i++) {
        engines.add(new CrashingEngine(String.format("i-eng%05d", i), store));
      }
      for (int i = 0; i < 3; i++) {
        daemons.add(new Daemon(folder, store.newDoor().address()));
        daemons.get(i).start();
      }
      for (Daemon d : daemons) {
        d.awaitReady();
      }
      sendSound(daemons, 7_000);
      record.line("four requests with the part come within 0.3 s");
      sendDeadly(daemons, 90);
      sendSound(daemons, 4_500);
      record.line("four more come at once, %d crashes so far", crashedAt.size());
      long secondAt = nowMillis();
      sendDeadly(daemons, 0);
      sendSound(daemons, 4_000);
      Thread.sleep(1_500);
      return judge(secondAt);
    } finally {
      for (Daemon d : daemons) {
        d.close();
      }
      for (CrashingEngine e : engines) {
        e.close();
      }
    }
  }

  private int judge(long secondAtMillis) {
    record.line(
        "%d requests sent, %d of them with the part; %d complete, %d not",
        sent.get(), 2 * AT_ONCE, complete.get(), other.get());
    if (!trouble) {
      return complete.get() == sent.get() ? 0 : 2;
    }
    if (crashedAt.size() < CRASHES || crashedAt.get(CRASHES - 1) + CONTACT_MILLIS > secondAtMillis) {
      record.line("too few crashes before the second four");
      return 2;
    }
    long settledAt = crashedAt.get(CRASHES - 1) + CONTACT_MILLIS;
    long late = arrivedAt.stream().filter(t -> t > settledAt).count();
    record.line(
        "%d requests with the part reached engines later than %d ms after the fifth crash"
            + " (%d allowed)",
        late, CONTACT_MILLIS, ALLOWED);
    return late > ALLOWED ? 1 : 0;
  }
}
