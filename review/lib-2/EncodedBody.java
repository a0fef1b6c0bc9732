import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.GZIPOutputStream;

/**
 * Clients send bodies that they have compressed, and say so in {@code Content-Encoding}. Without
 * trouble, they send the same bytes without that field.
 */
final class EncodedBody {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final int REQUESTS = 5;

  private final Record record;
  private final boolean trouble;
  private final Map<String, byte[]> received = new ConcurrentHashMap<>();

  private EncodedBody(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Record.newFolder();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = new Record(Path.of(arguments[0]))) {
      try {
        status = new EncodedBody(record, trouble).run(folder);
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
    received.put(id, request.body());
    record.line(
        "engine runs %s with Content-Encoding \"%s\", %d bytes beginning with %s",
        id,
        request.head().field("Content-Encoding"),
        request.body().length,
        beginning(request.body()));
    String head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nServer-Seal: s.1\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone";
    out.write(head.getBytes(StandardCharsets.US_ASCII));
  }

  private static String beginning(byte[] body) {
    return HexFormat.of().formatHex(body, 0, Math.min(8, body.length));
  }

  private static byte[] compress(String text) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream z = new GZIPOutputStream(bytes)) {
      z.write(text.getBytes(StandardCharsets.US_ASCII));
    }
    return bytes.toByteArray();
  }

  private void send(Daemon daemon, String id, byte[] body) throws IOException {
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(
        ("POST /puxa403/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                + id
                + "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer "
                + KEY
                + "\r\nContent-Type: application/json\r\n"
                + (trouble ? "Content-Encoding: gzip\r\n" : "")
                + "Content-Length: "
                + body.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    request.writeBytes(body);
    record.line("%s is sent, %d bytes beginning with %s", id, body.length, beginning(body));
    try (Socket s = daemon.connect()) {
      s.setSoTimeout(4_000);
      Wire.Message m = Wire.call(s, request.toByteArray());
      record.line("%s: %s", id, m == null ? "no answer" : "status " + m.head().status());
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
        int changed = 0;
        for (int i = 0; i < REQUESTS; i++) {
          String id = "9c41d07be2a0000" + i;
          byte[] body = compress("{\"batch\":" + i + ",\"note\":\"" + "release ".repeat(40) + "\"}");
          send(daemon, id, body);
          byte[] run = received.get(id);
          if (run != null && !Arrays.equals(run, body)) {
            changed++;
          }
        }
        record.line("%d of %d requests ran with another body (0 allowed)", changed, REQUESTS);
        if (received.size() < REQUESTS) {
          return 2;
        }
        return changed > 0 ? 1 : 0;
      }
    }
  }
}
