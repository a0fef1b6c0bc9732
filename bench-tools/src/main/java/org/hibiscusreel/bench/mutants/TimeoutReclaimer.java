package org.hibiscusreel.bench.mutants;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.recovery.AllotmentReclaimer;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.wire.FetchConfigurationRequest;

/** Reclaims the allotments of each daemon that does not respond in time, without proof of death. */
final class TimeoutReclaimer {

  private static final long INTERVAL_MILLIS = 5_000;
  private static final long TIMEOUT_MILLIS = 2_000;

  private final NodeSettings settings;
  private final NodeDependencies ports;
  private final AllotmentReclaimer reclaimer;

  TimeoutReclaimer(NodeSettings settings, NodeDependencies ports) {
    this.settings = settings;
    this.ports = ports;
    String self = settings.self().incarnation();
    HybridClock clock = new HybridClock(ports.scheduler()::wallMillis);
    this.reclaimer =
        new AllotmentReclaimer(ports.table(), new EventRecorder(clock, self, ports.events()));
  }

  void start() {
    var unused = ports.scheduler().schedule(INTERVAL_MILLIS, this::runRound);
  }

  private void runRound() {
    FutureCallbacks.onEnd(
        TableReads.scanAll(ports.table(), TableKeys.incarnation(""))
            .thenCompose(
                rows ->
                    FutureCallbacks.forEachSequentially(
                        rows.orElse(List.of()), this::reclaimIfUnresponsive)),
        this::start);
  }

  private CompletableFuture<Void> reclaimIfUnresponsive(Row row) {
    String id = TableKeys.lastPart(row.key());
    if (id.equals(settings.self().incarnation())) {
      return CompletableFuture.completedFuture(null);
    }
    String address = Json.read(row.value(), IncarnationRow.class).peerAddress();
    return ports
        .peers()
        .fetchConfiguration(address, FetchConfigurationRequest.getDefaultInstance(), TIMEOUT_MILLIS)
        .thenCompose(
            response ->
                response.isPresent()
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : reclaimer.reclaim(id).thenApply(Optional::of))
        .thenAccept(done -> {});
  }
}
