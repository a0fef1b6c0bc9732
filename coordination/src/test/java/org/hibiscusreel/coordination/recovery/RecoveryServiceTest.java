package org.hibiscusreel.coordination.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.coordination.testing.FakeCluster;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.request.RequestKey;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RecoveryServiceTest {

  /** Four rounds: proof, collection, acknowledgement, reclamation. */
  private static final long RECOVERY_MILLIS = 4 * 40_000;

  private final FakeCluster cluster = new FakeCluster(13);
  private FakeCluster.Daemon first;
  private FakeCluster.Daemon second;

  @BeforeEach
  void startDaemons() {
    BudgetRow row = new BudgetRow("account", 1_000, 0, AllotmentPolicy.BALANCED, List.of());
    cluster.table.put(TableKeys.budget("main"), row);
    first = cluster.start("a1#1", "a1", "a");
    second = cluster.start("a2#1", "a2", "a");
    cluster.scheduler.run(1_000);
  }

  private Reservation reserve(FakeCluster.Daemon server, String request) {
    RequestKey key = new RequestKey("account", request);
    ReservationResult result = cluster.await(server.allotments.reserve(key, "main", 100, 1_000));
    return ((ReservationResult.Granted) result).reservation();
  }

  private void recordUsage(String request, Reservation r, String server, UsageRecord.State state) {
    DispatchMetadata metadata =
        new DispatchMetadata(
            "account",
            request,
            "main",
            r.holder(),
            server,
            r.id(),
            1.0,
            "site",
            "print",
            0,
            0,
            "model");
    cluster.engine.record(metadata, 40, state);
  }

  private IncarnationState state(String incarnation) {
    return cluster.table.get(TableKeys.incarnation(incarnation), IncarnationRow.class).state();
  }

  private long drawn() {
    return cluster.table.get(TableKeys.budget("main"), BudgetRow.class).drawn();
  }

  /** Guards against lost bills and stranded tokens after a crash. */
  @Test
  void recoversBillsAndTokensOfReplacedDaemon() {
    recordUsage("q1", reserve(first, "q1"), "a1#1", UsageRecord.State.FINISHED);
    recordUsage("q2", reserve(first, "q2"), "a1#1", UsageRecord.State.ABORTED);
    first.crash();
    cluster.start("a1#2", "a1", "a");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.RECOVERED);
    assertThat(cluster.table.all("bill/")).hasSize(1);
    assertThat(cluster.table.get(TableKeys.allotment("a1#1", "main"), AllotmentRow.class))
        .matches(row -> row.closed() && row.drawn() - row.returned() == 40);
    assertThat(drawn()).isEqualTo(40);
  }

  /** Guards against treating an unresponsive daemon as dead without proof. */
  @Test
  void doesNothingWithoutProof() {
    reserve(first, "q");
    first.crash();
    cluster.scheduler.run(600_000);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.LIVE);
    assertThat(drawn()).isPositive();
    cluster.terminated.add("a1");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.RECOVERED);
    assertThat(drawn()).isZero();
  }

  /** Guards against reclaiming tokens that a live server has reserved and not billed yet. */
  @Test
  void waitsForOpenReservationsOfLiveServers() {
    final Reservation open = reserve(second, "q");
    first.crash();
    cluster.terminated.add("a1");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.RECOVERED);
    assertThat(drawn()).isPositive();
    assertThat(cluster.table.all("ack/")).isEmpty();
    second.allotments.close(open, 0);
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(drawn()).isZero();
  }

  /** Guards against completing recovery before all engines have reported their final records. */
  @Test
  void waitsForUnresponsiveOrGeneratingEngines() {
    Reservation r = reserve(first, "q");
    recordUsage("q", r, "a1#1", UsageRecord.State.RUNNING);
    first.crash();
    cluster.terminated.add("a1");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.DEAD);
    cluster.engine.records.clear();
    recordUsage("q", r, "a1#1", UsageRecord.State.FINISHED);
    cluster.engine.isDown = true;
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.DEAD);
    cluster.engine.isDown = false;
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(drawn()).isEqualTo(40);
  }

  /** Guards against reservations of a dead server that stay open at a live holder. */
  @Test
  void closesReservationsOfDeadServersByTheirBills() {
    recordUsage("q1", reserve(second, "q1"), "a2#1", UsageRecord.State.FINISHED);
    reserve(second, "q2");
    second.crash();
    cluster.start("a2#2", "a2", "a");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(first.allotments.openByServer()).isEmpty();
    cluster.await(first.stop());
    assertThat(state("a1#1")).isEqualTo(IncarnationState.CLOSED);
    assertThat(drawn()).isEqualTo(40);
  }

  /** Guards against rows that accumulate, and against deleting a row that holders still need. */
  @Test
  void deletesRowsDayAfterTheEnd() {
    cluster.scheduler.run(2 * 24 * 3_600_000L);
    cluster.await(second.stop());
    cluster.scheduler.run(23 * 3_600_000L);
    assertThat(state("a2#1")).isEqualTo(IncarnationState.CLOSED);
    cluster.scheduler.run(2 * 3_600_000L);
    assertThat(cluster.table.all("incarnation/")).hasSize(1);
  }
}
