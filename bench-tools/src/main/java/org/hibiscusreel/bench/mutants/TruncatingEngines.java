package org.hibiscusreel.bench.mutants;

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
import org.hibiscusreel.core.config.Upstream;

/** Engine client that reports a broken stream as the end of a whole answer. */
final class TruncatingEngines implements EngineClient {

  private final EngineClient engines;

  TruncatingEngines(EngineClient engines) {
    this.engines = engines;
  }

  private record Truncating(EngineListener listener, long[] pieces) implements EngineListener {

    @Override
    public void onPiece(long offset, String text) {
      pieces[0] = Math.max(pieces[0], offset + 1);
      listener.onPiece(offset, text);
    }

    @Override
    public void onEnd(EngineEnd end) {
      listener.onEnd(end);
    }

    @Override
    public void onFailure(EngineFailure failure) {
      if (failure instanceof EngineFailure.Broken && pieces[0] > 0) {
        listener.onEnd(new EngineEnd(pieces[0], "stop", 1, pieces[0]));
      } else {
        listener.onFailure(failure);
      }
    }
  }

  @Override
  public EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener) {
    return engines.start(upstream, request, new Truncating(listener, new long[1]));
  }

  @Override
  public EngineCall resume(
      Upstream upstream, String streamId, long offset, EngineListener listener) {
    return engines.resume(upstream, streamId, offset, listener);
  }

  @Override
  public CompletableFuture<Optional<EngineLoad>> load(Upstream upstream) {
    return engines.load(upstream);
  }

  @Override
  public CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(Upstream upstream, long after) {
    return engines.cacheEvents(upstream, after);
  }

  @Override
  public CompletableFuture<Optional<List<UsageRecord>>> usage(
      Upstream upstream, String server, long after) {
    return engines.usage(upstream, server, after);
  }

  @Override
  public CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order) {
    return engines.order(upstream, order);
  }

  @Override
  public CompletableFuture<Optional<EngineOrder>> state(Upstream upstream) {
    return engines.state(upstream);
  }
}
