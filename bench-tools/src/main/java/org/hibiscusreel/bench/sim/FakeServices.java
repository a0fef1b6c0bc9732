package org.hibiscusreel.bench.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.core.config.Upstream;

/** Simulated plain services that record each run and may lose the response. */
public final class FakeServices {

  private static final long RUN_MILLIS = 30;

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final List<Run> runs = new ArrayList<>();
  private double lostResponses;
  private boolean down;

  /**
   * A run as the service saw it.
   *
   * @param upstream the instance
   * @param method name of the method
   * @param idempotencyKey the caller's request identifier
   * @param at virtual time in milliseconds
   */
  public record Run(String upstream, String method, String idempotencyKey, long at) {}

  /**
   * Creates the services.
   *
   * @param time the virtual clock
   * @param links links between the failure domains
   * @param random decides which calls a fault hits
   */
  public FakeServices(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Share of calls whose response is lost after the run, 0 to 1. */
  public void setLostResponses(double share) {
    lostResponses = share;
  }

  /** Refuses all connections while true. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Returns all runs in order. */
  public List<Run> runs() {
    return runs;
  }

  /**
   * Returns the receipt of a run.
   *
   * @param method name of the method
   * @param idempotencyKey the caller's request identifier
   * @return the body of the answer
   */
  public static String receipt(String method, String idempotencyKey) {
    return "{\"receipt\":\"" + method + "/" + idempotencyKey + "\"}";
  }

  /**
   * Returns the services as one process reaches them.
   *
   * @param scope the process
   * @param end its failure domain
   * @return a client
   */
  public PlainServiceClient client(ProcessScope scope, String end) {
    return (u, c) -> {
      CompletableFuture<PlainServiceClient.Result> f = new CompletableFuture<>();
      time.schedule(links.delayMillis(), () -> arrive(scope, end, u, c, f));
      return f;
    };
  }

  private void arrive(
      ProcessScope scope,
      String end,
      Upstream u,
      PlainServiceClient.Call c,
      CompletableFuture<PlainServiceClient.Result> f) {
    if (down || links.isCut(end, u.failureDomain())) {
      answer(scope, f, 0, new PlainServiceClient.Result.NotSent("connection refused"));
      return;
    }
    runs.add(new Run(u.name(), c.method(), c.idempotencyKey(), time.now()));
    if (random.nextDouble() < lostResponses) {
      answer(scope, f, c.timeoutMillis(), new PlainServiceClient.Result.Unknown("timeout"));
      return;
    }
    byte[] body = receipt(c.method(), c.idempotencyKey()).getBytes(StandardCharsets.UTF_8);
    answer(
        scope,
        f,
        RUN_MILLIS,
        new PlainServiceClient.Result.Responded(200, "application/json", body));
  }

  private void answer(
      ProcessScope scope,
      CompletableFuture<PlainServiceClient.Result> f,
      long delay,
      PlainServiceClient.Result result) {
    time.schedule(delay + links.delayMillis(), () -> scope.deliver(() -> f.complete(result)));
  }
}
