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

/** Engine client that reports a broken stream as the end of a complete answer. */
final class TruncatingEngineClient implements EngineClient {

  private final EngineClient delegate;

  TruncatingEngineClient(EngineClient delegate) {
    this.delegate = delegate;
  }

  private record TruncatingListener(EngineListener delegate, long[] pieceCount)
      implements EngineListener {

    @Override
    public void onPiece(long offset, String text) {
      pieceCount[0] = Math.max(pieceCount[0], offset + 1);
      delegate.onPiece(offset, text);
    }

    @Override
    public void onEnd(EngineEnd end) {
      delegate.onEnd(end);
    }

    @Override
    public void onFailure(EngineFailure failure) {
      if (failure instanceof EngineFailure.Broken && pieceCount[0] > 0) {
        delegate.onEnd(new EngineEnd(pieceCount[0], "stop", 1, pieceCount[0]));
      } else {
        delegate.onFailure(failure);
      }
    }
  }

  @Override
  public EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener) {
    return delegate.start(upstream, request, new TruncatingListener(listener, new long[1]));
  }

  @Override
  public EngineCall resume(
      Upstream upstream, String streamId, long offset, EngineListener listener) {
    return delegate.resume(upstream, streamId, offset, listener);
  }

  @Override
  public CompletableFuture<Optional<EngineLoad>> load(Upstream upstream) {
    return delegate.load(upstream);
  }

  @Override
  public CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(Upstream upstream, long after) {
    return delegate.cacheEvents(upstream, after);
  }

  @Override
  public CompletableFuture<Optional<List<UsageRecord>>> usage(
      Upstream upstream, String server, long after) {
    return delegate.usage(upstream, server, after);
  }

  @Override
  public CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order) {
    return delegate.order(upstream, order);
  }

  @Override
  public CompletableFuture<Optional<EngineOrder>> state(Upstream upstream) {
    return delegate.state(upstream);
  }
}
