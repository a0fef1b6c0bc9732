package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.config.Upstream;

/** Engine client whose connections are controlled by a test. */
final class ScriptedEngines implements EngineClient {
  /** A connection opened by the service. */
  static final class Connection implements EngineCall {
    final String engine;
    final String streamId;
    final long offset;
    final EngineListener listener;
    boolean cancelled;
    boolean paused;

    Connection(String engine, String streamId, long offset, EngineListener listener) {
      this.engine = engine;
      this.streamId = streamId;
      this.offset = offset;
      this.listener = listener;
    }

    void pieces(String... texts) {
      for (int i = 0; i < texts.length; i++) {
        listener.onPiece(offset + i, texts[i]);
      }
    }

    void end(long pieces) {
      listener.onEnd(new EngineEnd(pieces, "stop", 10, pieces));
    }

    void breakOff() {
      listener.onFailure(new EngineFailure.Broken("connection reset"));
    }

    void loseStream() {
      listener.onFailure(new EngineFailure.StreamLost("unknown stream"));
    }

    void refuse() {
      listener.onFailure(new EngineFailure.NotStarted("busy", 700));
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
      cancelled = true;
    }
  }

  final List<Connection> connections = new ArrayList<>();
  final List<UsageRecord> usage = new ArrayList<>();
  final VirtualScheduler scheduler;
  boolean reportsOneRunningRequest;

  ScriptedEngines(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Returns the most recently opened connection. */
  Connection last() {
    return connections.get(connections.size() - 1);
  }

  @Override
  public EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener) {
    connections.add(new Connection(upstream.name(), request.streamId(), 0, listener));
    return last();
  }

  @Override
  public EngineCall resume(
      Upstream upstream, String streamId, long offset, EngineListener listener) {
    connections.add(new Connection(upstream.name(), streamId, offset, listener));
    return last();
  }

  @Override
  public CompletableFuture<Optional<EngineLoad>> load(Upstream upstream) {
    Optional<EngineLoad> load =
        reportsOneRunningRequest
            ? Optional.of(new EngineLoad(1, 0, 8, false, scheduler.wallMillis()))
            : Optional.empty();
    return CompletableFuture.completedFuture(load);
  }

  @Override
  public CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(Upstream upstream, long after) {
    return CompletableFuture.completedFuture(Optional.empty());
  }

  @Override
  public CompletableFuture<Optional<List<UsageRecord>>> usage(
      Upstream upstream, String server, long after) {
    return CompletableFuture.completedFuture(Optional.of(usage));
  }

  @Override
  public CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order) {
    return CompletableFuture.completedFuture(Optional.empty());
  }

  @Override
  public CompletableFuture<Optional<EngineOrder>> state(Upstream upstream) {
    return CompletableFuture.completedFuture(Optional.empty());
  }
}
