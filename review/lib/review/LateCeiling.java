package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A tenant gets more than its prepaid tokens after answers of the store were lost and a daemon was
 * killed.
 */
final class LateCeiling extends Case {

  private static final long PREPAID = 500_000;
  private static final int STRIDE = 5;
  private static final int HELD_PROMPT = 20;
  private static final int HELD_OUTPUT = 2_000;
  private static final int BURST_PROMPT = 2_000;
  private static final int BURST_OUTPUT = 10;

  /** Longest loss of answers, share of the writes that may be lost, and delay of late ones. */
  private static final long LOSS_MILLIS = 4_390;

  private static final long LATE_MILLIS = 4_950;

  private final AtomicLong consumed = new AtomicLong();
  private final AtomicInteger ran = new AtomicInteger();
  private final AtomicInteger writes = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private volatile boolean isHeldOver;
  private volatile boolean isArmed;
  private volatile long lossBegan;
  private volatile long lastDeclared;

  public static void main(String[] arguments) throws Exception {
    new LateCeiling().run(arguments);
  }

  private boolean answer(Http.Request r, Http.Connection c) throws Exception {
    String[] usage = r.header("Token-Usage").split(",");
    int prompt = Integer.parseInt(usage[0]);
    consumed.addAndGet(prompt);
    ran.incrementAndGet();
    record.add("engine runs %s prompt=%d", r.header("Attempt-Id"), prompt);
    c.write(head(r, STREAM));
    int event = 0;
    if (prompt == HELD_PROMPT) {
      while (!isHeldOver) {
        c.write(chunk("id: " + ++event + "\ndata: word\n\n"));
        for (int i = 0; i < 50 && !isHeldOver; i++) {
          Thread.sleep(20);
        }
      }
    } else {
      for (int i = 0; i < Integer.parseInt(usage[1]) / STRIDE; i++) {
        c.write(chunk("id: " + ++event + "\ndata: word\n\n"));
      }
    }
    c.write("0\r\n\r\n");
    return true;
  }

  /** Loses the answer of each write of the first daemon that the store could perform. */
  private Store.Fate judge(int daemon, JsonNode t) {
    boolean isAllotment = t.path("puts").path(0).path("table").asText().equals("allotment");
    boolean isTotal = t.path("puts").size() == 2;
    if (daemon == 0 && isAllotment && isTotal) {
      lastDeclared = record.now();
    }
    if (!isArmed || !isAllotment) {
      return Store.Fate.DONE;
    }
    if (daemon == 0 && lossBegan == 0 && !isTotal) {
      lossBegan = record.now();
      record.add("the store begins to lose answers");
    }
    if (lossBegan == 0 || record.now() - lossBegan > LOSS_MILLIS) {
      return Store.Fate.DONE;
    }
    writes.incrementAndGet();
    if (daemon == 0 && store.holds(t)) {
      lost.incrementAndGet();
      return Store.Fate.LATE;
    }
    return Store.Fate.DONE;
  }

  private void request(int daemon, int prompt, int output) {
    pool.submit(
        () -> {
          String id = Client.newId();
          try (Client c = new Client(daemons.get(daemon))) {
            c.send(
                "POST",
                "/g/x",
                id,
                "key",
                10_000,
                Map.of(
                    "Model",
                    "m",
                    "Token-Usage",
                    prompt + "," + output,
                    "Prompt-Prefix",
                    "aa01:" + prompt / 2 + "," + id.substring(8) + ":" + prompt / 2),
                new byte[10]);
            Http.Answer a = c.receive();
            record.add("client %s daemon=%d status=%d events=%d", id, daemon, a.status(),
                a.events());
            // What the engine has made and the client has not received counts for nothing.
            consumed.addAndGet((long) STRIDE * a.events());
            if (a.status() == 200) {
              lastServed = record.now();
            }
          } catch (Exception e) {
            record.add("client %s daemon=%d no answer: %s", id, daemon, e);
          }
        });
  }

  private volatile long lastServed;

  /** Sends requests at a rate to a daemon for some time. */
  private Thread load(int daemon, double perSecond, long millis, int prompt, int output) {
    Thread t =
        new Thread(
            () -> {
              long end = record.now() + millis;
              try {
                while (record.now() < end) {
                  request(daemon, prompt, output);
                  Thread.sleep((long) (1000 / perSecond));
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    t.start();
    return t;
  }

  @Override
  boolean play() throws Exception {
    configure(
        1,
        route("r", "/g/", "streaming", false, 10_000, 1, "\"service\":\"pool\""),
        llm("pool", STRIDE),
        tenant("t", "key", PREPAID));
    for (int i = 0; i < 3; i++) {
      engine("i-" + i, "pool", this::answer);
    }
    store.judge = this::judge;
    store.lateMillis = LATE_MILLIS;
    startDaemons(4);
    // The tenant's usual traffic: streams that end long before their limit at the first daemon, and
    // small ones at the others.
    record.add("usual traffic");
    for (int d = 1; d < 4; d++) {
      load(d, 2, 16_000, 100, 50);
    }
    load(0, 5, 9_000, HELD_PROMPT, HELD_OUTPUT);
    Thread.sleep(5_500);
    // The streams end shortly after the daemon has written both rows.
    for (int i = 0; i < 330 && record.now() - lastDeclared > 150; i++) {
      Thread.sleep(10);
    }
    Thread.sleep(100);
    isArmed = trouble;
    isHeldOver = true;
    record.add("the streams end, the tenant sends four times its usual");
    Thread.sleep(100);
    load(0, 20, 5_500, BURST_PROMPT, BURST_OUTPUT);
    if (trouble) {
      for (int i = 0; i < 400 && lossBegan == 0; i++) {
        Thread.sleep(10);
      }
      if (lossBegan == 0) {
        throw new Daemon.CannotRunException("the daemon declared no ceiling");
      }
      Thread.sleep(lossBegan + 4_800 - record.now());
      daemons.get(0).signal("KILL");
      daemons.get(0).awaitEnd(5);
      record.add("lost %d of %d writes", lost.get(), writes.get());
      Thread.sleep(500);
      daemons.get(0).start();
      daemons.get(0).awaitReady();
    } else {
      Thread.sleep(6_000);
    }
    // The rest of the tokens is used up in requests that become smaller.
    for (int size : new int[] {2_000, 500, 50, 10}) {
      long began = record.now();
      lastServed = began;
      while (record.now() - began < 18_000 && record.now() - lastServed < 3_500) {
        for (int d = 0; d < 4; d++) {
          request(d, size, 5);
        }
        Thread.sleep(60);
      }
    }
    Thread.sleep(2_000);
    pool.shutdownNow();
    record.add("total %s", store.get("allotment", "t", "total"));
    record.add("ran=%d consumed=%d prepaid=%d", ran.get(), consumed.get(), PREPAID);
    return consumed.get() <= PREPAID;
  }
}
