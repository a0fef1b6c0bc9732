package org.hibiscusreel.bench.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.CacheEvent;
import org.hibiscusreel.coordination.port.EngineCall;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.EngineEnd;
import org.hibiscusreel.coordination.port.EngineFailure;
import org.hibiscusreel.coordination.port.EngineListener;
import org.hibiscusreel.coordination.port.EngineLoad;
import org.hibiscusreel.coordination.port.EngineOrder;
import org.hibiscusreel.coordination.port.EngineRequest;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.core.config.Upstream;

/** Simulated model engines with resumable streams, crashes, usage records and orders. */
public final class FakeEngines {

  /** Time from a crash of an engine until it accepts connections again. */
  private static final long RESTART_DELAY_MILLIS = 3_000;

  /** Time without a reader after which an engine aborts a generation. */
  private static final long DETACHED_TIMEOUT_MILLIS = 10_000;

  /** Delay of load reports in addition to the delay of the link. */
  private static final long LOAD_REPORT_LAG_MILLIS = 500;

  private static final int BYTES_PER_TOKEN = 4;

  /** Number of requests that an engine reports to run at the same time. */
  private static final int CAPACITY_REQUESTS = 64;

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<Generation> generations = new ArrayList<>();
  private double breakProbability;
  private double repeatProbability;

  /**
   * Creates an empty set; each engine is created when its name is first used.
   *
   * @param time the virtual clock
   * @param links links between the failure domains
   * @param random source of randomness for the faults
   */
  public FakeEngines(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Sets the probability, 0 to 1, that the connection breaks before a piece. */
  public void setBreakProbability(double probability) {
    breakProbability = probability;
  }

  /** Sets the probability, 0 to 1, that the preceding piece is repeated after a piece. */
  public void setRepeatProbability(double probability) {
    repeatProbability = probability;
  }

  /** Sets the interval between two pieces of an engine, in milliseconds. */
  public void setPieceIntervalMillis(String upstream, long millis) {
    engine(upstream).pieceIntervalMillis = millis;
  }

  /** Sets whether an engine announces that it is leaving. */
  public void setLeaving(String upstream, boolean leaving) {
    engine(upstream).leaving = leaving;
  }

  /** Crashes an engine. It restarts a few seconds later without its streams. */
  public void crash(String upstream) {
    engine(upstream).crash();
  }

  /** Returns all generations in the order of their start. */
  public List<Generation> generations() {
    return generations;
  }

  /** Returns the total number of crashes of all engines. */
  public int crashes() {
    return engines.values().stream().mapToInt(e -> e.crashes).sum();
  }

  /**
   * Returns a client of the engines for one process.
   *
   * @param process process that uses the client
   * @param domain failure domain of the process
   * @return the client
   */
  public EngineClient client(SimulatedProcess process, String domain) {
    return new Client(process, domain);
  }

  private Engine engine(String name) {
    return engines.computeIfAbsent(name, Engine::new);
  }

  /** A generation of an engine. */
  public static final class Generation {

    private final String upstream;
    private final EngineRequest request;
    private final long startedAt;
    private final List<String> pieces;
    private final long seq;
    private int produced;
    private long detachedAt = -1;
    private UsageRecord.State state = UsageRecord.State.RUNNING;

    private Generation(String upstream, EngineRequest request, long startedAt, long seq) {
      this.upstream = upstream;
      this.request = request;
      this.startedAt = startedAt;
      this.seq = seq;
      this.pieces = SimulatedPayloads.pieces(request.body());
    }

    /** Returns the name of the engine. */
    public String upstream() {
      return upstream;
    }

    /** Returns the request as the engine received it. */
    public EngineRequest request() {
      return request;
    }

    /** Returns the time of the start in milliseconds of virtual time. */
    public long startedAt() {
      return startedAt;
    }

    /** Returns the current state. */
    public UsageRecord.State state() {
      return state;
    }

    private long promptTokens() {
      return Math.max(1, request.body().length / BYTES_PER_TOKEN);
    }

    UsageRecord usage() {
      return new UsageRecord(
          seq, request.streamId(), request.metadata(), promptTokens(), produced, state);
    }

    private EngineEnd end() {
      return new EngineEnd(pieces.size(), "stop", promptTokens(), pieces.size());
    }
  }

  private final class Engine {

    private final String name;
    private final Map<String, Generation> streams = new HashMap<>();
    private final List<Generation> started = new ArrayList<>();
    private long pieceIntervalMillis = 20;
    private boolean leaving;
    private boolean up = true;
    private int crashes;
    private Optional<EngineOrder> order = Optional.empty();

    Engine(String name) {
      this.name = name;
    }

    void crash() {
      up = false;
      crashes++;
      for (Generation g : streams.values()) {
        if (g.state == UsageRecord.State.RUNNING) {
          g.state = UsageRecord.State.ABORTED;
        }
      }
      streams.clear();
      time.schedule(RESTART_DELAY_MILLIS, () -> up = true);
    }

    Generation startGeneration(EngineRequest request) {
      Generation g = new Generation(name, request, time.nowMillis(), started.size() + 1L);
      started.add(g);
      generations.add(g);
      streams.put(request.streamId(), g);
      if (new String(request.body(), StandardCharsets.UTF_8)
          .contains(SimulatedPayloads.CRASH_MARKER)) {
        time.schedule(pieceIntervalMillis, this::crash);
      } else {
        time.schedule(pieceIntervalMillis, () -> producePiece(g));
      }
      return g;
    }

    private void producePiece(Generation g) {
      if (g.state != UsageRecord.State.RUNNING) {
        return;
      }
      if (g.detachedAt >= 0 && time.nowMillis() - g.detachedAt > DETACHED_TIMEOUT_MILLIS) {
        g.state = UsageRecord.State.ABORTED;
        return;
      }
      g.produced++;
      if (g.produced >= g.pieces.size()) {
        g.state = UsageRecord.State.FINISHED;
      } else {
        time.schedule(pieceIntervalMillis, () -> producePiece(g));
      }
    }

    long runningCount() {
      return started.stream().filter(g -> g.state == UsageRecord.State.RUNNING).count();
    }
  }

  private final class Client implements EngineClient {

    private final SimulatedProcess process;
    private final String domain;

    Client(SimulatedProcess process, String domain) {
      this.process = process;
      this.domain = domain;
    }

    private boolean isUnreachable(Upstream upstream) {
      return links.isCut(domain, upstream.failureDomain()) || !engine(upstream.name()).up;
    }

    @Override
    public EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener) {
      StreamReader r = new StreamReader(process, domain, upstream, listener);
      time.schedule(
          links.delayMillis(),
          () -> {
            if (isUnreachable(upstream)) {
              r.fail(new EngineFailure.NotStarted("connection refused", 0));
            } else {
              r.read(engine(upstream.name()).startGeneration(request), 0);
            }
          });
      return r;
    }

    @Override
    public EngineCall resume(
        Upstream upstream, String streamId, long offset, EngineListener listener) {
      StreamReader r = new StreamReader(process, domain, upstream, listener);
      time.schedule(
          links.delayMillis(),
          () -> {
            Generation g = engine(upstream.name()).streams.get(streamId);
            if (isUnreachable(upstream)) {
              r.fail(new EngineFailure.NotStarted("connection refused", 0));
            } else if (g == null || g.state == UsageRecord.State.ABORTED) {
              r.fail(new EngineFailure.StreamLost("unknown stream"));
            } else {
              r.read(g, offset);
            }
          });
      return r;
    }

    private <T> CompletableFuture<Optional<T>> query(
        Upstream upstream, long lagMillis, Supplier<T> query) {
      CompletableFuture<Optional<T>> future = new CompletableFuture<>();
      time.schedule(
          links.delayMillis(),
          () -> {
            Optional<T> r = isUnreachable(upstream) ? Optional.empty() : Optional.of(query.get());
            time.schedule(
                lagMillis + links.delayMillis(), () -> process.deliver(() -> future.complete(r)));
          });
      return future;
    }

    @Override
    public CompletableFuture<Optional<EngineLoad>> load(Upstream upstream) {
      Engine e = engine(upstream.name());
      return query(
          upstream,
          LOAD_REPORT_LAG_MILLIS,
          () ->
              new EngineLoad(
                  (int) e.runningCount(), 0, CAPACITY_REQUESTS, e.leaving, time.wallMillis()));
    }

    @Override
    public CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(
        Upstream upstream, long after) {
      return query(upstream, 0, List::of);
    }

    @Override
    public CompletableFuture<Optional<List<UsageRecord>>> usage(
        Upstream upstream, String server, long after) {
      return query(
          upstream,
          0,
          () ->
              engine(upstream.name()).started.stream()
                  .filter(g -> g.seq > after)
                  .filter(g -> g.request.metadata().server().equals(server))
                  .map(Generation::usage)
                  .toList());
    }

    @Override
    public CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order) {
      Engine e = engine(upstream.name());
      return query(
          upstream,
          0,
          () -> {
            boolean stale = e.order.map(o -> order.fencing() < o.fencing()).orElse(false);
            if (upstream.checksFencing() && stale) {
              return false;
            }
            e.order = Optional.of(order);
            return true;
          });
    }

    @Override
    public CompletableFuture<Optional<EngineOrder>> state(Upstream upstream) {
      Engine e = engine(upstream.name());
      return query(upstream, 0, () -> e.order.orElse(new EngineOrder(0, List.of(), List.of(), "")));
    }
  }

  /** Connection that delivers the pieces of one stream to a listener. */
  private final class StreamReader implements EngineCall {

    private final SimulatedProcess process;
    private final String domain;
    private final Upstream upstream;
    private final EngineListener listener;
    private Generation generation;
    private long nextOffset;
    private boolean closed;
    private boolean paused;

    StreamReader(
        SimulatedProcess process, String domain, Upstream upstream, EngineListener listener) {
      this.process = process;
      this.domain = domain;
      this.upstream = upstream;
      this.listener = listener;
    }

    void read(Generation g, long offset) {
      generation = g;
      g.detachedAt = -1;
      nextOffset = offset;
      deliverPieces();
    }

    private void deliverPieces() {
      if (closed) {
        return;
      }
      if (!process.isAlive()) {
        detach();
        return;
      }
      if (generation.state == UsageRecord.State.ABORTED
          || links.isCut(domain, upstream.failureDomain())) {
        detach();
        fail(new EngineFailure.Broken("connection reset"));
        return;
      }
      if (paused || !process.isRunning()) {
        scheduleNextStep();
        return;
      }
      while (nextOffset < generation.produced) {
        if (random.nextDouble() < breakProbability) {
          detach();
          fail(new EngineFailure.Broken("connection reset"));
          return;
        }
        deliverPiece(nextOffset);
        if (nextOffset > 0 && random.nextDouble() < repeatProbability) {
          deliverPiece(nextOffset - 1);
        }
        nextOffset++;
      }
      if (nextOffset >= generation.pieces.size()) {
        closed = true;
        EngineEnd e = generation.end();
        process.deliver(() -> listener.onEnd(e));
        return;
      }
      scheduleNextStep();
    }

    private void scheduleNextStep() {
      time.schedule(engine(upstream.name()).pieceIntervalMillis, this::deliverPieces);
    }

    private void deliverPiece(long offset) {
      String text = generation.pieces.get((int) offset);
      process.deliver(() -> listener.onPiece(offset, text));
    }

    private void detach() {
      closed = true;
      if (generation != null) {
        generation.detachedAt = time.nowMillis();
      }
    }

    void fail(EngineFailure failure) {
      closed = true;
      time.schedule(links.delayMillis(), () -> process.deliver(() -> listener.onFailure(failure)));
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resumeReading() {
      paused = false;
    }

    @Override
    public void cancel() {
      if (closed) {
        return;
      }
      closed = true;
      time.schedule(
          links.delayMillis(),
          () -> {
            if (generation != null && generation.state == UsageRecord.State.RUNNING) {
              generation.state = UsageRecord.State.CANCELLED;
            }
          });
    }
  }
}
