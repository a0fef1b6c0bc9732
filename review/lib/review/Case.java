package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Frame of a case: starts what it needs, ends all of it, and turns the result into a status. */
abstract class Case {

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final List<Daemon> daemons = new ArrayList<>();
  final List<Http> engines = new ArrayList<>();
  Record record;
  Store store;
  Path temp;

  /** Plays the case; returns true if the rule held. */
  abstract boolean play() throws Exception;

  void run(String[] arguments) throws IOException {
    Path folder = Path.of(arguments[0]);
    temp = Files.createTempDirectory("review");
    int status = 2;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::close)));
    try (Record r = new Record(folder.resolve("record.txt"))) {
      record = r;
      store = new Store(r);
      record.add("trouble=%s", trouble);
      try {
        status = play() ? 0 : 1;
      } catch (Exception e) {
        record.add("the case could not run: %s", e);
        e.printStackTrace();
      }
      record.add("status=%d", status);
      if (System.getenv("KEEP") != null) {
        System.err.println("kept " + temp);
      }
    } finally {
      for (Daemon d : daemons) {
        d.close();
      }
      if (System.getenv("KEEP") == null) {
        try (Stream<Path> files = Files.walk(temp)) {
          files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
      }
    }
    System.out.println("status " + status);
    Runtime.getRuntime().halt(status);
  }

  Daemon daemon() throws IOException {
    Daemon d = new Daemon(temp, record, store.open());
    daemons.add(d);
    return d;
  }

  /** Starts all daemons and waits until they are ready and know each other. */
  void startDaemons(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      daemon().start();
    }
    for (Daemon d : daemons) {
      d.awaitReady();
    }
    // The daemons count each other every five seconds.
    Thread.sleep(6_000);
  }

  /** Starts a server and registers it in the store. */
  Http engine(String id, String service, Http.Handler handler) throws IOException {
    Http http = new Http("127.0.0.1", handler);
    engines.add(http);
    register(id, service, http);
    return http;
  }

  void register(String id, String service, Http http) {
    store.put(
        "servers",
        "",
        id,
        String.format(
            "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,"
                + "\"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":%d}",
            service, http.address(), System.currentTimeMillis()));
  }

  void configure(int version, String routes, String services, String tenants) {
    store.put(
        "op",
        "",
        "config",
        String.format(
            "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":"
                + "16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
            version, routes, services, tenants));
  }

  static String route(String name, String prefix, String kind, boolean resumable, int timeout,
      int attempts, String target) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeout_ms\":%d,\"target_latency_ms\":800,\"priority\":1,%s,\"max_attempts\":%d,"
            + "\"public\":false,\"sticky\":%s,\"resumable\":%s,\"gap_aim_ms\":400}",
        name, prefix, kind, timeout, target, attempts, kind.equals("streaming"), resumable);
  }

  static String llm(String name, int stride) {
    return String.format(
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":360,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":468120,"
            + "\"kv_token_bytes\":18432,\"link_mbps\":740000.0,\"moves\":true,\"backups\":true,"
            + "\"stride\":%d,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
            + "\"models\":[{\"name\":\"m\"}]}}",
        name, stride);
  }

  static String plain(String name) {
    return String.format(
        "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\","
            + "\"tls\":false}",
        name);
  }

  static String tenant(String name, String key, long prepaid) {
    return String.format(
        "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1,\"prepaid\":%d}",
        name, key, prepaid);
  }

  /** Returns the head of a successful response of a server. */
  static String head(Http.Request r, String framing) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + r.header("Attempt-Id")
        + "\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        + framing
        + "\r\n";
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static final String STREAM =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
}
