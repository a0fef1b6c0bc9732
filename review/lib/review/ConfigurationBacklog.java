package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Configurations come in quick succession while the store turns a daemon away. */
final class ConfigurationBacklog extends Case {

  /** Routes of the site wongsakul-reel that serve nothing, and those that {@code big_config} adds. */
  private static final int ROUTES = 110 + 350;

  private static final long SILENT_MILLIS = 9_000;
  private static final int STORMS = 3;
  private static final int VERSIONS_PER_STORM = 25;
  private static final long GAP_MILLIS = 80;
  private static final int CALLERS = 16;
  private static final long WORK_MILLIS = 400;
  private static final int MAX_CLOSED = 3;

  private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
  private final AtomicInteger closed = new AtomicInteger();
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    new ConfigurationBacklog().run(arguments);
  }

  private boolean answer(Http.Request r, Http.Connection c) throws Exception {
    passedOn.add(r.header("Attempt-Id"));
    record.add("engine runs %s", r.header("Attempt-Id"));
    Thread.sleep(WORK_MILLIS);
    c.write(head(r, "Content-Length: 2\r\n") + "ok");
    return true;
  }

  private Thread caller(int daemon) {
    Thread t =
        new Thread(
            () -> {
              int answers = 0;
              String id = "";
              try (Client c = new Client(daemons.get(daemon))) {
                while (!stopped) {
                  id = Client.newId();
                  c.send("POST", "/p/x", id, "key", 3_000, Map.of(), new byte[600]);
                  Http.Answer a = c.receive();
                  record.add("client %s status=%d", id, a.status());
                  if (a.status() == 0) {
                    if (answers > 0 && passedOn.contains(id)) {
                      closed.incrementAndGet();
                      record.add("client %s: passed on from a kept connection, no answer", id);
                    }
                    return;
                  }
                  answers++;
                  Thread.sleep(30);
                }
              } catch (Exception e) {
                record.add("client %s: %s", id, e);
                if (answers > 0 && passedOn.contains(id)) {
                  closed.incrementAndGet();
                }
              }
            });
    t.start();
    return t;
  }

  private String routes(int version) {
    StringBuilder b =
        new StringBuilder(
            route("r", "/p/", "non_idempotent", false, 3_000 + version, 2,
                "\"service\":\"app\""));
    for (int i = 0; i < ROUTES; i++) {
      b.append(
          ","
              + route("r-idle" + i, "/idle" + i + "/", "idempotent", false, 3_000, 2,
                  "\"service\":\"app\""));
    }
    return b.toString();
  }

  private void configure(int version) {
    configure(version, routes(version), plain("app"), tenant("t", "key", 100_000_000));
  }

  @Override
  boolean play() throws Exception {
    configure(1);
    record.add("a configuration has %d bytes", store.get("op", "", "config").length());
    for (int i = 0; i < 3; i++) {
      engine("i-" + i, "app", this::answer);
    }
    startDaemons(3);
    List<Thread> all = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      all.add(caller(0));
    }
    Thread.sleep(3_000);
    if (trouble) {
      record.add("the store answers the first daemon no more");
      store.setSilent(0, true);
    }
    long end = record.now() + SILENT_MILLIS;
    Thread.sleep(1_000);
    int version = 1;
    for (int s = 0; s < STORMS; s++) {
      for (int i = 0; i < VERSIONS_PER_STORM; i++) {
        configure(++version);
        Thread.sleep(GAP_MILLIS);
      }
    }
    record.add("the operator has written version %d", version);
    Thread.sleep(Math.max(0, end - record.now()));
    store.setSilent(0, false);
    record.add("the store answers all daemons");
    Thread.sleep(6_000);
    stopped = true;
    for (Thread t : all) {
      t.join(4_000);
    }
    boolean isAlive = daemons.get(0).isAlive();
    record.add("alive=%s closed=%d", isAlive, closed.get());
    if (!isAlive) {
      List<String> lines = java.nio.file.Files.readAllLines(daemons.get(0).log());
      record.add("exit status %d, last line: %s", daemons.get(0).exitCode(),
          lines.get(lines.size() - 1));
    }
    return closed.get() <= MAX_CLOSED;
  }
}
