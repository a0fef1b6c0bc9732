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
   * @param request the generation to start
   * @param listener receives the stream
   * @return the stream in progress
   */
  EngineCall start(Upstream upstream, EngineRequest request, EngineListener listener);

  /**
   * Resumes a stream after its connection failed.
   *
   * @param upstream the engine
   * @param streamId stream identifier of the attempt
   * @param offset number of the first piece to receive
   * @param listener receives the rest of the stream
   * @return the stream in progress
   */
  EngineCall resume(Upstream upstream, String streamId, long offset, EngineListener listener);

  /**
   * Fetches the load report.
   *
   * @param upstream the engine
   * @return the report, or empty if the engine does not respond
   */
  CompletableFuture<Optional<EngineLoad>> load(Upstream upstream);

  /**
   * Fetches cache events.
   *
   * @param upstream the engine
   * @param after last sequence number received
   * @return the events in order, or empty if the engine does not respond
   */
  CompletableFuture<Optional<List<CacheEvent>>> cacheEvents(Upstream upstream, long after);

  /**
   * Fetches usage records of generations that one incarnation dispatched.
   *
   * @param upstream the engine
   * @param server the incarnation
   * @param after last sequence number received
   * @return the records in order, or empty if the engine does not respond
   */
  CompletableFuture<Optional<List<UsageRecord>>> usage(
      Upstream upstream, String server, long after);

  /**
   * Commands an engine to enter a declared state.
   *
   * @param upstream the engine
   * @param order the declared state
   * @return true if the engine accepted the command, false if it rejected an outdated fencing
   *     number, empty if it did not respond
   */
  CompletableFuture<Optional<Boolean>> order(Upstream upstream, EngineOrder order);

  /**
   * Reads the state that an engine was last commanded to enter.
   *
   * @param upstream the engine
   * @return the state, or empty if the engine does not respond
   */
  CompletableFuture<Optional<EngineOrder>> state(Upstream upstream);
}
