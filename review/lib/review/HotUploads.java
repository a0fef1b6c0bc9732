package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A tenant sends many times its usual large requests, and the daemon ends. */
final class HotUploads extends Case {

  /** Half of {@code max_body_bytes} of the configuration. */
  private static final int BODY_BYTES = 2_097_152;

  private static final int USUAL_UPLOADS = 2;

  /** 7.5 times the usual ones. */
  private static final int HOT_UPLOADS = 15;

  private static final int CALLERS = 12;
  private static final long WORK_MILLIS = 400;
  private static final int MAX_CLOSED = 3;

  private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
  private final AtomicInteger closed = new AtomicInteger();
  private volatile boolean stopped;

  public static void main(String[] arguments) throws Exception {
    new HotUploads().run(arguments);
  }

  private boolean answer(Http.Request r, Http.Connection c) throws Exception {
    passedOn.add(r.header("Attempt-Id"));
    record.add("engine runs %s with %d bytes", r.header("Attempt-Id"), r.body().length);
    Thread.sleep(WORK_MILLIS);
    c.write(head(r, "Content-Length: 2\r\n") + "ok");
    return true;
  }

  /** Sends one request after the other on a connection that is kept. */
  private Thread caller(String key, int bytes, long millis) {
    Thread t =
        new Thread(
            () -> {
              long end = record.now() + millis;
              int answers = 0;
              String id = "";
              try (Client c = new Client(daemons.get(0))) {
                while (!stopped && record.now() < end) {
                  id = Client.newId();
                  c.send("POST", "/p/x", id, key, 3_000, Map.of(), new byte[bytes]);
                  Http.Answer a = c.receive();
                  record.add("client %s bytes=%d status=%d complete=%s", id, bytes, a.status(),
                      a.complete());
                  if (a.status() == 0) {
                    if (answers > 0 && passedOn.contains(id)) {
                      closed.incrementAndGet();
                      record.add("client %s: passed on from a kept connection, no answer", id);
                    }
                    return;
                  }
                  answers++;
                  Thread.sleep(50);
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

  @Override
  boolean play() throws Exception {
    configure(
        1,
        route("r", "/p/", "non_idempotent", false, 3_000, 2, "\"service\":\"app\""),
        plain("app"),
        tenant("t-1", "small", 100_000_000) + "," + tenant("t-2", "large", 100_000_000));
    for (int i = 0; i < 3; i++) {
      engine("i-" + i, "app", this::answer);
    }
    startDaemons(2);
    List<Thread> all = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      all.add(caller("small", 600, 20_000));
    }
    record.add("usual: %d uploads of %d bytes at a time", USUAL_UPLOADS, BODY_BYTES);
    for (int i = 0; i < USUAL_UPLOADS; i++) {
      all.add(caller("large", BODY_BYTES, 20_000));
    }
    Thread.sleep(8_000);
    if (trouble) {
      record.add("the tenant sends %d uploads at a time", HOT_UPLOADS);
      for (int i = USUAL_UPLOADS; i < HOT_UPLOADS; i++) {
        all.add(caller("large", BODY_BYTES, 6_500));
      }
    }
    for (Thread t : all) {
      t.join(20_000);
    }
    stopped = true;
    boolean isAlive = daemons.get(0).isAlive();
    record.add("alive=%s closed=%d", isAlive, closed.get());
    if (!isAlive) {
      record.add("exit status %d, last line: %s", daemons.get(0).exitCode(), lastLine());
    }
    return closed.get() <= MAX_CLOSED;
  }

  private String lastLine() throws Exception {
    List<String> lines = java.nio.file.Files.readAllLines(daemons.get(0).log());
    return lines.get(lines.size() - 1);
  }
}
