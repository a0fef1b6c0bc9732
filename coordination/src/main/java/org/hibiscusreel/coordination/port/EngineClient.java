package org.hibiscusreel.coordination.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.config.Upstream;

/** Calls to model engines. Futures complete on the event loop and never exceptionally. */
public interface EngineClient {

  /**
   * Starts a generation.
   *
   * @param upstream the engine
   * @param request what to generate
   * @param listener receives the stream
   * @return the stream in progress
   */
  EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener);

  /**
   * Resumes a stream after its connection broke.
   *
   * @param upstream the engine
   * @param streamId stream identifier of the attempt
   * @param offset first piece wanted
   * @param listener receives the rest of the stream
   * @return the stream in progress
   */
  EngineCall resume(Upstream upstream, String streamId, long offset, EngineListener listener);

  /**
   * Fetches the load report.
   *
   * @param upstream the engine
   * @return the report, or empty if the engine does not answer
   */
  CompletableFuture<Optional<EngineLoad>> load(Upstream upstream);

  /**
   * Fetches cache events.
   *
   * @param upstream the engine
   * @param after last sequence number seen
   * @return the events in order, or empty if the engine does not answer
   */
  CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(Upstream upstream, long after);

  /**
   * Fetches usage records of generations that one incarnation dispatched.
   *
   * @param upstream the engine
   * @param server the incarnation
   * @param after last sequence number seen
   * @return the records in order, or empty if the engine does not answer
   */
  CompletableFuture<Optional<List<UsageRecord>>> usage(
      Upstream upstream, String server, long after);

  /**
   * Orders an engine into a declared state.
   *
   * @param upstream the engine
   * @param order the declared state
   * @return true if the engine accepted, false if it refused an old fencing number, empty if it did
   *     not answer
   */
  CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order);

  /**
   * Reads back the state that an engine was last ordered into.
   *
   * @param upstream the engine
   * @return the state, or empty if the engine does not answer
   */
  CompletableFuture<Optional<EngineOrder>> state(Upstream upstream);
}
