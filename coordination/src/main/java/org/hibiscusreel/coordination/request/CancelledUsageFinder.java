package org.hibiscusreel.coordination.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.core.config.Upstream;

/** Finds the usage records of calls that were cancelled by their callers. */
final class CancelledUsageFinder {
  private static final long[] RETRY_DELAYS_MILLIS = {100, 500, 2_000, 5_000};
  private static final int MAX_CACHED_RECORDS = 1_000;

  private final Scheduler scheduler;
  private final EngineClient engines;
  private final String server;
  private final Map<String, Long> cursors = new HashMap<>();
  private final Map<String, UsageRecord> recordsByStreamId =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, UsageRecord> eldest) {
          return size() > MAX_CACHED_RECORDS;
        }
      };

  CancelledUsageFinder(RequestDependencies dependencies) {
    this.scheduler = dependencies.ports().scheduler();
    this.engines = dependencies.ports().engines();
    this.server = dependencies.membership().self().incarnation();
  }

  /**
   * Passes on the record of an ended generation, or empty if the engine does not report it in time.
   */
  void find(Upstream engine, String streamId, Consumer<Optional<UsageRecord>> consumer) {
    attempt(engine, streamId, 0, consumer);
  }

  private void attempt(
      Upstream engine, String streamId, int n, Consumer<Optional<UsageRecord>> consumer) {
    if (n == RETRY_DELAYS_MILLIS.length) {
      consumer.accept(Optional.empty());
      return;
    }
    scheduler.schedule(
        RETRY_DELAYS_MILLIS[n],
        () ->
            FutureCallbacks.onValue(
                engines.usage(engine, server, cursors.getOrDefault(engine.name(), 0L)),
                records -> {
                  records.ifPresent(r -> cacheEnded(engine.name(), r));
                  UsageRecord record = recordsByStreamId.remove(streamId);
                  if (record != null) {
                    consumer.accept(Optional.of(record));
                  } else {
                    attempt(engine, streamId, n + 1, consumer);
                  }
                }));
  }

  /** Caches the records of ended generations; the cursor stays before the first running one. */
  private void cacheEnded(String engine, List<UsageRecord> records) {
    boolean allEnded = true;
    for (UsageRecord r : records) {
      boolean running = r.state() == UsageRecord.State.RUNNING;
      allEnded &= !running;
      if (!running) {
        recordsByStreamId.put(r.streamId(), r);
      }
      if (allEnded) {
        cursors.merge(engine, r.seq(), Math::max);
      }
    }
  }
}
