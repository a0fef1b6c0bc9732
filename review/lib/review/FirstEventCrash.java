package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of prompts crashes each engine after it has written the first event of its answer. */
final class FirstEventCrash extends Case {

  private static final String BAD_PART = "bad0c0de";
  private static final int ENGINES = 8;
  private static final long RESTART_MILLIS = 2_500;
  private static final long CONTACT_MILLIS = 3_000;
  private static final int CRASHES = 5;
  private static final int MAX_REACHING = 3;

  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final List<Long> reached = new CopyOnWriteArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final ExecutorService pool = Executors.newCachedThreadPool();

  public static void main(String[] arguments) throws Exception {
    new FirstEventCrash().run(arguments);
  }

  private boolean answer(int engine, Http.Request r, Http.Connection c) throws Exception {
    boolean isBad = r.header("Prompt-Prefix").contains(BAD_PART);
    String id = r.header("Attempt-Id");
    record.add("engine %d runs %s%s", engine, id, isBad ? " with the part" : "");
    if (isBad) {
      reached.add(record.now());
    }
    Thread.sleep(60);
    c.write(head(r, STREAM) + chunk("id: 1\ndata: word\n\n"));
    Thread.sleep(30);
    if (isBad) {
      crash(engine);
      return false;
    }
    for (int i = 2; i <= 10; i++) {
      c.write(chunk("id: " + i + "\ndata: word\n\n"));
      Thread.sleep(30);
    }
    c.write("0\r\n\r\n");
    return true;
  }

  private void crash(int engine) throws Exception {
    crashes.add(record.now());
    record.add("engine %d crashes, number %d", engine, crashes.size());
    Http http = engines.get(engine);
    http.crash();
    pool.submit(
        () -> {
          Thread.sleep(RESTART_MILLIS);
          http.restart();
          register("i-" + engine, "pool", http);
          record.add("engine %d is back", engine);
          return null;
        });
  }

  private void request(int daemon, boolean isBad) {
    pool.submit(
        () -> {
          String id = Client.newId();
          try (Client c = new Client(daemons.get(daemon))) {
            String parts =
                "aa01:40," + (isBad ? BAD_PART : "600dc0de") + ":40," + id.substring(8) + ":20";
            c.send(
                "POST",
                "/g/x",
                id,
                "key",
                4_000,
                Map.of("Model", "m", "Token-Usage", "100,50", "Prompt-Prefix", parts),
                id.getBytes());
            Http.Answer a = c.receive();
            record.add("client %s daemon=%d bad=%s status=%d events=%d complete=%s", id, daemon,
                isBad, a.status(), a.events(), a.complete());
            if (!isBad && a.complete() && a.status() == 200) {
              served.incrementAndGet();
            }
          } catch (Exception e) {
            record.add("client %s daemon=%d bad=%s: %s", id, daemon, isBad, e);
          }
          return null;
        });
  }

  @Override
  boolean play() throws Exception {
    configure(
        1,
        route("r", "/g/", "streaming", false, 4_000, 1, "\"service\":\"pool\""),
        llm("pool", 5),
        tenant("t", "key", 100_000_000));
    for (int i = 0; i < ENGINES; i++) {
      int engine = i;
      engine("i-" + i, "pool", (r, c) -> answer(engine, r, c));
    }
    startDaemons(3);
    // Sound requests of the same caller, which share the other parts; every 20th of the traffic has
    // the part that crashes engines.
    for (int i = 0; i < 600; i++) {
      request(i % 3, trouble && i % 20 == 10);
      Thread.sleep(50);
    }
    Thread.sleep(5_000);
    pool.shutdownNow();
    long after = crashes.size() < CRASHES ? Long.MAX_VALUE : crashes.get(CRASHES - 1);
    long late = reached.stream().filter(t -> t - CONTACT_MILLIS > after).count();
    record.add("crashes=%d reached=%d later=%d sound requests served=%d", crashes.size(),
        reached.size(), late, served.get());
    return late <= MAX_REACHING;
  }
}
