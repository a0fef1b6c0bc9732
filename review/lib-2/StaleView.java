import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * A daemon that the store turns away for seven seconds doesn't know the software version that came
 * meanwhile. Streams that began at that version at the other daemon are taken up at this one.
 */
final class StaleView {

  private static final String HOST = "a.example";
  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final int STREAMS = 18;
  private static final int EVENTS = 24;
  private static final long PAUSE_MILLIS = 120;

  /** Streams that hold events of two versions, above which ORDER is broken. */
  private static final int ALLOWED = 2;

  private final Record record;
  private final boolean trouble;

  private StaleView(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Record.newFolder();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new StaleView(record, trouble).run(folder);
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

  private Engine newEngine(String id, String version) throws IOException {
    return new Engine(id, "pool", version, (r, out) -> generate(id, version, r, out));
  }

  /** Sends the events after {@code Last-Event-Id}, as an engine that resumes a stream does. */
  private void generate(String id, String version, Wire.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String attempt = request.head().field("Attempt-Id");
    String last = request.head().field("Last-Event-Id");
    int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    record.line("engine %s (version %s) runs %s from event %d", id, version, attempt, from);
    write(
        out,
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + attempt
            + "\r\nServer-Seal: s."
            + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from; i <= EVENTS; i++) {
      String event = "id: " + i + "\ndata: " + version + " " + i + "\n\n";
      write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Thread.sleep(PAUSE_MILLIS);
    }
    write(out, "0\r\n\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** One stream of a client, over its first try and the one that takes it up. */
  private final class Stream {

    private final int number;
    private final StringBuilder text = new StringBuilder();
    private final List<String> answers = new ArrayList<>();
    private String lastEvent = "";

    Stream(int number) {
      this.number = number;
    }

    private String attemptId(int attempt) {
      return String.format("9c41d07be2a%03d%02d", number, attempt);
    }

    void run(Daemon first, Daemon second) {
      try {
        if (!attempt(first, 1)) {
          Thread.sleep(100);
          attempt(second, 2);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Returns whether the stream came to its end, or can't be taken up. */
    private boolean attempt(Daemon daemon, int attempt) {
      String request =
          "POST /lohu930/2f HTTP/1.1\r\nHost: "
              + HOST
              + "\r\nAttempt-Id: "
              + attemptId(attempt)
              + "\r\nModel: m\r\nToken-Usage: 1460,120\r\nPrompt-Prefix: "
              + String.format("%08x", number)
              + ":1460\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer "
              + KEY
              + (lastEvent.isEmpty()
                  ? ""
                  : "\r\nLast-Event-Id: " + lastEvent + "\r\nResumes: " + attemptId(1))
              + "\r\nContent-Length: 2\r\n\r\n{}";
      String end = "broken off";
      try (Socket s = daemon.connect()) {
        s.setSoTimeout(8_000);
        write(s.getOutputStream(), request);
        Wire.Head head = Wire.readHead(s.getInputStream());
        if (head != null) {
          end = "status " + head.status();
          if (head.status() == 200) {
            end = readEvents(s) ? "complete" : "broken off";
          }
        }
      } catch (IOException e) {
        end = "broken off";
      }
      record.line(
          "stream %d, attempt %s at %s: %s, last event %s",
          number, attemptId(attempt), daemon.name, end, lastEvent);
      answers.add(end);
      return end.equals("complete") || lastEvent.isEmpty();
    }

    private boolean readEvents(Socket s) throws IOException {
      while (true) {
        String size = Wire.readLine(s.getInputStream());
        if (size == null) {
          return false;
        }
        int n = Integer.parseInt(size, 16);
        byte[] chunk = s.getInputStream().readNBytes(n);
        if (chunk.length < n || Wire.readLine(s.getInputStream()) == null) {
          return false;
        }
        if (n == 0) {
          return true;
        }
        text.append(new String(chunk, StandardCharsets.US_ASCII));
        int at = text.lastIndexOf("id: ");
        lastEvent = text.substring(at + 4, text.indexOf("\n", at));
      }
    }

    TreeSet<String> versions() {
      TreeSet<String> found = new TreeSet<>();
      text.toString()
          .lines()
          .filter(l -> l.startsWith("data: "))
          .forEach(l -> found.add(l.split(" ")[1]));
      return found;
    }
  }

  private int run(Path folder) throws IOException, InterruptedException {
    try (Store store = new Store();
        Engine old1 = newEngine("i-old00001", "v1");
        Engine old2 = newEngine("i-old00002", "v1");
        Engine new1 = newEngine("i-new00001", "v2")) {
      store.put("op", "config", configuration());
      old1.register(store);
      old2.register(store);
      Store.Door door1 = store.newDoor();
      Store.Door door2 = store.newDoor();
      try (Daemon first = new Daemon(folder, door1.address());
          Daemon second = new Daemon(folder, door2.address())) {
        first.start();
        second.start();
        first.awaitReady();
        second.awaitReady();
        record.line("%s and %s are ready", first.name, second.name);
        // Traffic starts 15 s after the machines do.
        Thread.sleep(TimeUnit.SECONDS.toMillis(18));
        if (trouble) {
          store.setBusy(door2, true);
          record.line("the store turns %s away", second.name);
        }
        Thread.sleep(1_000);
        new1.register(store);
        record.line("%s of version v2 has registered", new1.id);
        Thread.sleep(500);
        List<Stream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
          Stream s = new Stream(i);
          streams.add(s);
          threads.add(Engine.thread("client", () -> s.run(first, second)));
          Thread.sleep(40);
        }
        Thread.sleep(1_200);
        first.kill();
        record.line("%s was killed", first.name);
        for (Thread t : threads) {
          t.join(12_000);
        }
        if (trouble) {
          store.setBusy(door2, false);
          record.line("the store serves %s again", second.name);
        }
        return judge(streams);
      }
    }
  }

  private int judge(List<Stream> streams) {
    int mixed = 0;
    int begun = 0;
    int resumed = 0;
    for (Stream s : streams) {
      begun += s.lastEvent.isEmpty() ? 0 : 1;
      resumed += s.answers.size() == 2 && s.answers.get(1).equals("complete") ? 1 : 0;
      if (s.versions().size() > 1) {
        mixed++;
        record.line("stream %d holds events of %s", s.number, s.versions());
      }
    }
    record.line(
        "%d streams began, %d were taken up and went on, %d hold events of two versions"
            + " (%d allowed)",
        begun, resumed, mixed, ALLOWED);
    if (begun < STREAMS) {
      return 2;
    }
    return mixed > ALLOWED ? 1 : 0;
  }
}
