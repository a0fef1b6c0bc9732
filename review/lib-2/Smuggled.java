import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client hides a request in the body of another one, whose length it states in a way that a
 * recipient has to reject. Without trouble, it states the length of the same body once and properly.
 */
final class Smuggled {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";

  /** A way to state the length of a body; {@code %d} is its true length. */
  private record Form(String name, String fields) {}

  private static final List<Form> FORMS =
      List.of(
          new Form("two lengths", "Content-Length: %d\r\nContent-Length: 0\r\n"),
          new Form("a space before the colon", "Content-Length : %d\r\n"),
          new Form("an unknown transfer coding", "Transfer-Encoding: xchunked\r\n"));

  private static final Form PROPER = new Form("one length", "Content-Length: %d\r\n");

  private final Record record;
  private final boolean trouble;
  private final List<String> run = new CopyOnWriteArrayList<>();

  private Smuggled(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Record.newFolder();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new Smuggled(record, trouble).run(folder);
      } catch (IOException | RuntimeException e) {
        record.line("could not run: %s", e);
        e.printStackTrace();
      }
    }
    System.exit(status == 1 ? Record.BROKEN : status);
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
        + "\"path_prefix\":\"/puxa403/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
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

  private void answer(Wire.Message request, OutputStream out) throws IOException {
    String id = request.head().field("Attempt-Id");
    run.add(id);
    record.line(
        "engine runs %s (%s), %d bytes in its body", id, request.head().first(),
        request.body().length);
    String head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nServer-Seal: s.1\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone";
    out.write(head.getBytes(StandardCharsets.US_ASCII));
  }

  private static String head(String id, String fields) {
    return "POST /puxa403/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
        + id
        + "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer "
        + KEY
        + "\r\n"
        + fields
        + "\r\n";
  }

  private void send(Daemon daemon, int number, Form form) throws IOException {
    String inner = head("inner" + number, "Content-Length: 0\r\n");
    String outer = head("outer" + number, String.format(form.fields(), inner.length())) + inner;
    record.line("outer%d is sent with %s, inner%d is in its body", number, form.name(), number);
    try (Socket s = daemon.connect()) {
      s.setSoTimeout(1_500);
      Wire.Message m = Wire.call(s, outer.getBytes(StandardCharsets.US_ASCII));
      while (m != null) {
        record.line(
            "the client gets status %d of %s", m.head().status(), m.head().field("Attempt-Id"));
        Wire.Head next = Wire.readHead(s.getInputStream());
        m = next == null ? null : Wire.readBody(next, s.getInputStream());
      }
      record.line("the connection ends");
    } catch (IOException e) {
      record.line("nothing more comes (%s)", e.getMessage());
    }
  }

  private int run(Path folder) throws IOException, InterruptedException {
    try (Store store = new Store();
        Engine engine = new Engine("i-app00001", "app", "v1", this::answer)) {
      store.put("op", "config", configuration());
      engine.register(store);
      try (Daemon daemon = new Daemon(folder, store.newDoor().address())) {
        daemon.start();
        daemon.awaitReady();
        Thread.sleep(1_000);
        for (int i = 0; i < FORMS.size(); i++) {
          send(daemon, i, trouble ? FORMS.get(i) : PROPER);
        }
        long smuggled = run.stream().filter(id -> id.startsWith("inner")).count();
        record.line("%d requests ran that were smuggled inside another one (0 allowed)", smuggled);
        if (!trouble && run.size() < FORMS.size()) {
          return 2;
        }
        return smuggled > 0 ? 1 : 0;
      }
    }
  }
}
