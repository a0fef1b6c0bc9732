package org.hibiscusreel.coordination.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.ledger.BillWriter;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.ledger.BillBatch;
import org.hibiscusreel.core.ledger.PendingBill;

/** Inserts the bills that a dead server had not flushed, using the usage records of the engines. */
final class UsageCollector {

  /**
   * Number of consecutive failed writes after which collection stops for one incarnation; the next
   * round tries again.
   */
  private static final int MAX_FAILURES = 5;

  private final Scheduler scheduler;
  private final TableService table;
  private final EngineClient engines;
  private final EventRecorder events;

  UsageCollector(
      Scheduler scheduler, TableService table, EngineClient engines, EventRecorder events) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.events = Objects.requireNonNull(events, "events");
  }

  /**
   * Recovers the bills of a dead server.
   *
   * @param server the dead incarnation
   * @param site site of the server
   * @param upstreams all upstreams
   * @param terminated names of upstreams that were terminated and have lost their usage records
   * @return true if all engines responded, no generation is running and all bills are written
   */
  CompletableFuture<Boolean> recover(
      String server, String site, Iterable<Upstream> upstreams, Set<String> terminated) {
    List<Upstream> queried = new ArrayList<>();
    for (Upstream u : upstreams) {
      boolean isEngine = u.kind() == UpstreamKind.ENGINE && u.site().equals(site);
      if (isEngine && !terminated.contains(u.name())) {
        queried.add(u);
      }
    }
    List<UsageRecord> records = new ArrayList<>();
    List<String> unresponsive = new ArrayList<>();
    return FutureCallbacks.forEachSequentially(
            queried, u -> collect(u, server, 0, records, unresponsive))
        .thenCompose(done -> insert(server, toPendingBills(records), new BillWriter(table), 0))
        .thenApply(
            isWritten -> isWritten && unresponsive.isEmpty() && !hasRunningGeneration(records));
  }

  private static boolean hasRunningGeneration(List<UsageRecord> records) {
    return records.stream().anyMatch(r -> r.state() == UsageRecord.State.RUNNING);
  }

  private CompletableFuture<Void> collect(
      Upstream upstream,
      String server,
      long after,
      List<UsageRecord> records,
      List<String> unresponsive) {
    return engines
        .usage(upstream, server, after)
        .thenCompose(
            page -> {
              if (page.isEmpty()) {
                unresponsive.add(upstream.name());
                events.record("usage_unavailable", "", "", "", upstream.name(), "server=" + server);
              }
              List<UsageRecord> found = page.orElse(List.of());
              records.addAll(found);
              long last = found.stream().mapToLong(UsageRecord::seq).max().orElse(after);
              return last <= after
                  ? CompletableFuture.completedFuture(null)
                  : collect(upstream, server, last, records, unresponsive);
            });
  }

  private List<PendingBill> toPendingBills(List<UsageRecord> records) {
    return records.stream()
        .filter(r -> r.state() == UsageRecord.State.FINISHED)
        .map(r -> PendingBill.of(toBill(r)))
        .toList();
  }

  private Bill toBill(UsageRecord r) {
    DispatchMetadata m = r.metadata();
    return new Bill(
        m.account(),
        m.requestId(),
        m.budget(),
        m.holder(),
        m.server(),
        m.reservationId(),
        m.target(),
        r.promptTokens(),
        r.completionTokens(),
        m.worth(),
        m.site(),
        m.fingerprint(),
        m.arrivedAtMillis(),
        scheduler.wallMillis(),
        0);
  }

  private CompletableFuture<Boolean> insert(
      String server, List<PendingBill> pending, BillWriter writer, int failures) {
    if (pending.isEmpty() || failures >= MAX_FAILURES) {
      return CompletableFuture.completedFuture(pending.isEmpty());
    }
    return writer
        .write(BillBatch.select(pending, TableService.MAX_ROWS))
        .thenCompose(
            attempt -> {
              List<PendingBill> rest = new ArrayList<>(pending);
              attempt.outcomes().forEach(o -> applyOutcome(server, o, rest));
              boolean isProgress = !attempt.outcomes().isEmpty();
              return insert(server, rest, writer, isProgress ? 0 : failures + 1);
            });
  }

  private void applyOutcome(String server, BillWriter.Outcome outcome, List<PendingBill> rest) {
    rest.remove(outcome.pending());
    if (outcome.verdict() == PendingBill.Verdict.OTHER_REQUEST) {
      rest.add(outcome.pending().withFingerprintKey());
    } else if (outcome.verdict() == PendingBill.Verdict.WRITTEN) {
      Bill b = outcome.pending().bill();
      String detail = "server=" + server + " tokens=" + b.tokens();
      events.record("bill_recovered", b.account(), b.requestId(), b.budget(), "", detail);
    }
  }
}
