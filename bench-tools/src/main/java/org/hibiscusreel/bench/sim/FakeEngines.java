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

/** Simulated model engines: streams with offsets, resume, crashes, usage records, orders. */
public final class FakeEngines {

  private static final long RESTART_MILLIS = 3_000;
  private static final long ABORT_MILLIS = 10_000;
  private static final long LOAD_LAG_MILLIS = 500;
  private static final int BYTES_PER_TOKEN = 4;

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<Generation> generations = new ArrayList<>();
  private double broken;
  private double repeated;

  /**
   * Creates engines on demand.
   *
   * @param time the virtual clock
   * @param links links between the failure domains
   * @param random decides which streams a fault hits
   */
  public FakeEngines(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Share of pieces at which the connection breaks, 0 to 1. */
  public void setBroken(double share) {
    broken = share;
  }

  /** Share of pieces that arrive a second time, after the next one, 0 to 1. */
  public void setRepeated(double share) {
    repeated = share;
  }

  /** Sets the time between two pieces of an engine, in milliseconds. */
  public void setPieceMillis(String upstream, long millis) {
    engine(upstream).pieceMillis = millis;
  }

  /** Lets an engine announce that it is leaving, or that it is back. */
  public void setLeaving(String upstream, boolean leaving) {
    engine(upstream).leaving = leaving;
  }

  /** Crashes an engine; it restarts without its streams after a few seconds. */
  public void crash(String upstream) {
    engine(upstream).crash();
  }

  /** Returns all generations that were started, in order. */
  public List<Generation> generations() {
    return generations;
  }

  /** Returns the number of crashes of all engines. */
  public int crashes() {
    return engines.values().stream().mapToInt(e -> e.crashes).sum();
  }

  /**
   * Returns the engines as one process reaches them.
   *
   * @param scope the process
   * @param end its failure domain
   * @return a client
   */
  public EngineClient client(ProcessScope scope, String end) {
    return new Client(scope, end);
  }

  private Engine engine(String name) {
    return engines.computeIfAbsent(name, Engine::new);
  }

  /** A generation as the engine saw it. */
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
      this.pieces = SimText.pieces(request.body());
    }

    /** Returns the engine. */
    public String upstream() {
      return upstream;
    }

    /** Returns the request as it was sent. */
    public EngineRequest request() {
      return request;
    }

    /** Returns the virtual time of the start in milliseconds. */
    public long startedAt() {
      return startedAt;
    }

    /** Returns the state. */
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
    private final List<Generation> all = new ArrayList<>();
    private long pieceMillis = 20;
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
      time.schedule(RESTART_MILLIS, () -> up = true);
    }

    Generation begin(EngineRequest request) {
      Generation g = new Generation(name, request, time.now(), all.size() + 1L);
      all.add(g);
      generations.add(g);
      streams.put(request.streamId(), g);
      if (new String(request.body(), StandardCharsets.UTF_8).contains(SimText.CRASH_MARKER)) {
        time.schedule(pieceMillis, this::crash);
      } else {
        time.schedule(pieceMillis, () -> produce(g));
      }
      return g;
    }

    private void produce(Generation g) {
      if (g.state != UsageRecord.State.RUNNING) {
        return;
      }
      if (g.detachedAt >= 0 && time.now() - g.detachedAt > ABORT_MILLIS) {
        g.state = UsageRecord.State.ABORTED;
        return;
      }
      g.produced++;
      if (g.produced >= g.pieces.size()) {
        g.state = UsageRecord.State.FINISHED;
      } else {
        time.schedule(pieceMillis, () -> produce(g));
      }
    }

    long running() {
      return all.stream().filter(g -> g.state == UsageRecord.State.RUNNING).count();
    }
  }

  private final class Client implements EngineClient {

    private final ProcessScope scope;
    private final String end;

    Client(ProcessScope scope, String end) {
      this.scope = scope;
      this.end = end;
    }

    private boolean unreachable(Upstream u) {
      return links.isCut(end, u.failureDomain()) || !engine(u.name()).up;
    }

    @Override
    public EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener) {
      Reader r = new Reader(scope, end, upstream, listener);
      time.schedule(
          links.delayMillis(),
          () -> {
            if (unreachable(upstream)) {
              r.fail(new EngineFailure.NotStarted("connection refused", 0));
            } else {
              r.read(engine(upstream.name()).begin(request), 0);
            }
          });
      return r;
    }

    @Override
    public EngineCall resume(
        Upstream upstream, String streamId, long offset, EngineListener listener) {
      Reader r = new Reader(scope, end, upstream, listener);
      time.schedule(
          links.delayMillis(),
          () -> {
            Generation g = engine(upstream.name()).streams.get(streamId);
            if (unreachable(upstream)) {
              r.fail(new EngineFailure.NotStarted("connection refused", 0));
            } else if (g == null || g.state == UsageRecord.State.ABORTED) {
              r.fail(new EngineFailure.StreamLost("unknown stream"));
            } else {
              r.read(g, offset);
            }
          });
      return r;
    }

    private <T> CompletableFuture<Optional<T>> get(Upstream u, long lag, Supplier<T> query) {
      CompletableFuture<Optional<T>> f = new CompletableFuture<>();
      time.schedule(
          links.delayMillis(),
          () -> {
            Optional<T> r = unreachable(u) ? Optional.empty() : Optional.of(query.get());
            time.schedule(lag + links.delayMillis(), () -> scope.deliver(() -> f.complete(r)));
          });
      return f;
    }

    @Override
    public CompletableFuture<Optional<EngineLoad>> load(Upstream upstream) {
      Engine e = engine(upstream.name());
      return get(
          upstream,
          LOAD_LAG_MILLIS,
          () -> new EngineLoad((int) e.running(), 0, 64, e.leaving, time.wall()));
    }

    @Override
    public CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(
        Upstream upstream, long after) {
      return get(upstream, 0, List::of);
    }

    @Override
    public CompletableFuture<Optional<List<UsageRecord>>> usage(
        Upstream upstream, String server, long after) {
      return get(
          upstream,
          0,
          () ->
              engine(upstream.name()).all.stream()
                  .filter(g -> g.seq > after)
                  .filter(g -> g.request.metadata().server().equals(server))
                  .map(Generation::usage)
                  .toList());
    }

    @Override
    public CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order) {
      Engine e = engine(upstream.name());
      return get(
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
      return get(upstream, 0, () -> e.order.orElse(new EngineOrder(0, List.of(), List.of(), "")));
    }
  }

  /** Reads one connection of one stream. */
  private final class Reader implements EngineCall {

    private final ProcessScope scope;
    private final String end;
    private final Upstream upstream;
    private final EngineListener listener;
    private Generation generation;
    private long next;
    private boolean closed;
    private boolean paused;

    Reader(ProcessScope scope, String end, Upstream upstream, EngineListener listener) {
      this.scope = scope;
      this.end = end;
      this.upstream = upstream;
      this.listener = listener;
    }

    void read(Generation g, long offset) {
      generation = g;
      g.detachedAt = -1;
      next = offset;
      step();
    }

    private void step() {
      if (closed) {
        return;
      }
      if (!scope.isAlive()) {
        detach();
        return;
      }
      if (generation.state == UsageRecord.State.ABORTED
          || links.isCut(end, upstream.failureDomain())) {
        detach();
        fail(new EngineFailure.Broken("connection reset"));
        return;
      }
      if (paused || !scope.isRunning()) {
        again();
        return;
      }
      while (next < generation.produced) {
        if (random.nextDouble() < broken) {
          detach();
          fail(new EngineFailure.Broken("connection reset"));
          return;
        }
        piece(next);
        if (next > 0 && random.nextDouble() < repeated) {
          piece(next - 1);
        }
        next++;
      }
      if (next >= generation.pieces.size()) {
        closed = true;
        EngineEnd e = generation.end();
        scope.deliver(() -> listener.onEnd(e));
        return;
      }
      again();
    }

    private void again() {
      time.schedule(engine(upstream.name()).pieceMillis, this::step);
    }

    private void piece(long offset) {
      String text = generation.pieces.get((int) offset);
      scope.deliver(() -> listener.onPiece(offset, text));
    }

    private void detach() {
      closed = true;
      if (generation != null) {
        generation.detachedAt = time.now();
      }
    }

    void fail(EngineFailure failure) {
      closed = true;
      time.schedule(links.delayMillis(), () -> scope.deliver(() -> listener.onFailure(failure)));
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void proceed() {
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
