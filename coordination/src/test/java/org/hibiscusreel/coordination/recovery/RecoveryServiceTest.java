package org.hibiscusreel.coordination.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.coordination.testing.FakeCluster;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Lean;
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
  private FakeCluster.Daemon home;
  private FakeCluster.Daemon other;

  @BeforeEach
  void startDaemons() {
    BudgetRow row = new BudgetRow("account", 1_000, 0, Lean.BALANCED, List.of());
    cluster.table.put(TableKeys.budget("main"), row);
    home = cluster.start("a1#1", "a1", "a");
    other = cluster.start("a2#1", "a2", "a");
    cluster.scheduler.run(1_000);
  }

  private Reservation reserve(FakeCluster.Daemon server, String request) {
    RequestKey key = new RequestKey("account", request);
    ReservationResult result = cluster.await(server.allotments.reserve(key, "main", 100, 1_000));
    return ((ReservationResult.Granted) result).reservation();
  }

  private void use(String request, Reservation r, String server, UsageRecord.State state) {
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

  /** Guards against bills that are lost and tokens that stay stranded after a crash. */
  @Test
  void recoversBillsAndTokensOfReplacedDaemon() {
    use("q1", reserve(home, "q1"), "a1#1", UsageRecord.State.FINISHED);
    use("q2", reserve(home, "q2"), "a1#1", UsageRecord.State.ABORTED);
    home.crash();
    cluster.start("a1#2", "a1", "a");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.RECOVERED);
    assertThat(cluster.table.all("bill/")).hasSize(1);
    assertThat(cluster.table.get(TableKeys.allotment("a1#1", "main"), AllotmentRow.class))
        .matches(row -> row.closed() && row.drawn() - row.returned() == 40);
    assertThat(drawn()).isEqualTo(40);
  }

  /** Guards against taking a silent daemon for dead without a proof. */
  @Test
  void doesNothingWithoutProof() {
    reserve(home, "q");
    home.crash();
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
    final Reservation open = reserve(other, "q");
    home.crash();
    cluster.terminated.add("a1");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.RECOVERED);
    assertThat(drawn()).isPositive();
    assertThat(cluster.table.all("ack/")).isEmpty();
    other.allotments.close(open, 0);
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(drawn()).isZero();
  }

  /** Guards against recovering before all engines have told their final records. */
  @Test
  void waitsForEnginesThatAreSilentOrStillGenerate() {
    Reservation r = reserve(home, "q");
    use("q", r, "a1#1", UsageRecord.State.RUNNING);
    home.crash();
    cluster.terminated.add("a1");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(state("a1#1")).isEqualTo(IncarnationState.DEAD);
    cluster.engine.records.clear();
    use("q", r, "a1#1", UsageRecord.State.FINISHED);
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
    use("q1", reserve(other, "q1"), "a2#1", UsageRecord.State.FINISHED);
    reserve(other, "q2");
    other.crash();
    cluster.start("a2#2", "a2", "a");
    cluster.scheduler.run(RECOVERY_MILLIS);
    assertThat(home.allotments.openByServer()).isEmpty();
    cluster.await(home.stop());
    assertThat(state("a1#1")).isEqualTo(IncarnationState.CLOSED);
    assertThat(drawn()).isEqualTo(40);
  }

  /** Guards against rows that pile up, and against deleting one while holders need it. */
  @Test
  void deletesRowsDayAfterTheEnd() {
    cluster.scheduler.run(2 * 24 * 3_600_000L);
    cluster.await(other.stop());
    cluster.scheduler.run(23 * 3_600_000L);
    assertThat(state("a2#1")).isEqualTo(IncarnationState.CLOSED);
    cluster.scheduler.run(2 * 3_600_000L);
    assertThat(cluster.table.all("incarnation/")).hasSize(1);
  }
}
