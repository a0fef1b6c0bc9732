package org.hibiscusreel.bench.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.core.config.Upstream;

/** Simulated plain services that record each run and can lose responses. */
public final class FakeServices {

  private static final long RUN_DURATION_MILLIS = 30;

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final List<Run> runs = new ArrayList<>();
  private double lostResponseProbability;
  private boolean down;

  /**
   * A run of a call.
   *
   * @param upstream name of the service instance
   * @param method name of the method
   * @param idempotencyKey request identifier chosen by the caller
   * @param at time of the run in milliseconds of virtual time
   */
  public record Run(String upstream, String method, String idempotencyKey, long at) {}

  /**
   * Creates services that have not run any call.
   *
   * @param time the virtual clock
   * @param links links between the failure domains
   * @param random source of randomness for the faults
   */
  public FakeServices(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Sets the probability, 0 to 1, that the response is lost after the run. */
  public void setLostResponseProbability(double probability) {
    lostResponseProbability = probability;
  }

  /** Sets whether all connections are refused. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Returns all runs in chronological order. */
  public List<Run> runs() {
    return runs;
  }

  /**
   * Returns the body of the response to a call.
   *
   * @param method name of the method
   * @param idempotencyKey request identifier chosen by the caller
   * @return JSON text
   */
  public static String responseBody(String method, String idempotencyKey) {
    return "{\"receipt\":\"" + method + "/" + idempotencyKey + "\"}";
  }

  /**
   * Returns a client of the services for one process.
   *
   * @param process process that uses the client
   * @param domain failure domain of the process
   * @return the client
   */
  public PlainServiceClient client(SimulatedProcess process, String domain) {
    return (upstream, call) -> {
      CompletableFuture<PlainServiceClient.Result> future = new CompletableFuture<>();
      time.schedule(links.delayMillis(), () -> handleCall(process, domain, upstream, call, future));
      return future;
    };
  }

  private void handleCall(
      SimulatedProcess process,
      String domain,
      Upstream upstream,
      PlainServiceClient.Call call,
      CompletableFuture<PlainServiceClient.Result> future) {
    if (down || links.isCut(domain, upstream.failureDomain())) {
      respond(process, future, 0, new PlainServiceClient.Result.NotSent("connection refused"));
      return;
    }
    runs.add(new Run(upstream.name(), call.method(), call.idempotencyKey(), time.nowMillis()));
    if (random.nextDouble() < lostResponseProbability) {
      respond(
          process, future, call.timeoutMillis(), new PlainServiceClient.Result.Unknown("timeout"));
      return;
    }
    byte[] body =
        responseBody(call.method(), call.idempotencyKey()).getBytes(StandardCharsets.UTF_8);
    respond(
        process,
        future,
        RUN_DURATION_MILLIS,
        new PlainServiceClient.Result.Responded(200, "application/json", body));
  }

  private void respond(
      SimulatedProcess process,
      CompletableFuture<PlainServiceClient.Result> future,
      long delayMillis,
      PlainServiceClient.Result result) {
    time.schedule(
        delayMillis + links.delayMillis(), () -> process.deliver(() -> future.complete(result)));
  }
}
