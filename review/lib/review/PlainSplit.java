package review;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A version of the configuration splits a streaming route onto a service without an engine. */
final class PlainSplit extends Case {

  private static final long PREPAID = 60_000;
  private static final int PROMPT = 20;
  private static final int OUTPUT = 400;

  /** Tokens in an event of the model service; an event of the other one counts as one token. */
  private static final int STRIDE = 7;

  private final AtomicLong consumed = new AtomicLong();
  private final AtomicInteger ran = new AtomicInteger();
  private final ExecutorService pool = Executors.newCachedThreadPool();

  public static void main(String[] arguments) throws Exception {
    new PlainSplit().run(arguments);
  }

  private boolean answer(String service, int tokensPerEvent, Http.Request r, Http.Connection c)
      throws Exception {
    consumed.addAndGet(PROMPT);
    ran.incrementAndGet();
    record.add("engine of %s runs %s", service, r.header("Attempt-Id"));
    c.write(head(r, STREAM));
    for (int i = 1; i <= OUTPUT / tokensPerEvent; i++) {
      c.write(chunk("id: " + i + "\ndata: word\n\n"));
      Thread.sleep(1);
    }
    c.write("0\r\n\r\n");
    return true;
  }

  private void request(int daemon) {
    pool.submit(
        () -> {
          String id = Client.newId();
          try (Client c = new Client(daemons.get(daemon))) {
            c.send(
                "POST",
                "/g/x",
                id,
                "key",
                6_000,
                Map.of(
                    "Model", "m",
                    "Token-Usage", PROMPT + "," + OUTPUT,
                    "Prompt-Prefix", "aa01:10," + id.substring(8) + ":10"),
                new byte[10]);
            Http.Answer a = c.receive();
            // Streams of the model service have far fewer events than tokens.
            int perEvent = a.events() <= OUTPUT / STRIDE ? STRIDE : 1;
            consumed.addAndGet((long) perEvent * a.events());
            record.add("client %s daemon=%d status=%d events=%d", id, daemon, a.status(),
                a.events());
          } catch (Exception e) {
            record.add("client %s daemon=%d: %s", id, daemon, e);
          }
          return null;
        });
  }

  @Override
  boolean play() throws Exception {
    String services = llm("pool", STRIDE) + "," + plain("app");
    configure(
        1,
        route("r", "/g/", "streaming", false, 6_000, 2, "\"service\":\"pool\""),
        services,
        tenant("t", "key", PREPAID));
    for (int i = 0; i < 2; i++) {
      engine("i-" + i, "pool", (r, c) -> answer("pool", STRIDE, r, c));
      engine("a-" + i, "app", (r, c) -> answer("app", 1, r, c));
    }
    startDaemons(2);
    for (int i = 0; i < 800; i++) {
      request(i % 2);
      Thread.sleep(25);
      if (i == 40 && trouble) {
        record.add("the operator splits the route");
        configure(
            2,
            route("r", "/g/", "streaming", false, 6_000, 2,
                "\"split\":[{\"service\":\"pool\",\"weight\":50},"
                    + "{\"service\":\"app\",\"weight\":50}]"),
            services,
            tenant("t", "key", PREPAID));
      }
    }
    Thread.sleep(7_000);
    pool.shutdownNow();
    record.add("total %s", store.get("allotment", "t", "total"));
    record.add("ran=%d consumed=%d prepaid=%d", ran.get(), consumed.get(), PREPAID);
    return consumed.get() <= PREPAID;
  }
}
