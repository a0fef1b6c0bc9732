package org.hibiscusreel.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.testing.FakeCluster;
import org.hibiscusreel.coordination.testing.FakeTable.Fault;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Lean;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.wire.ReleaseRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AllotmentServiceTest {

  private static final String BUDGET = "main";
  private static final long WAIT_MILLIS = 3_000;

  private final FakeCluster cluster = new FakeCluster(7);
  private FakeCluster.Daemon home;
  private FakeCluster.Daemon second;
  private FakeCluster.Daemon elsewhere;

  @BeforeEach
  void addDaemons() {
    home = cluster.add("a1", "a");
    second = cluster.add("a2", "a");
    elsewhere = cluster.add("b1", "b");
    grantBudget(BUDGET, 1_000);
  }

  private void grantBudget(String budget, long tokens) {
    BudgetRow row = new BudgetRow("account", tokens, 0, Lean.BALANCED, List.of());
    cluster.table.put(TableKeys.budget(budget), row);
  }

  private CompletableFuture<ReservationResult> start(
      FakeCluster.Daemon server, String budget, long tokens) {
    return server.allotments.reserve(new RequestKey("account", "r"), budget, tokens, WAIT_MILLIS);
  }

  private ReservationResult reserve(FakeCluster.Daemon server, long tokens) {
    return cluster.await(start(server, BUDGET, tokens));
  }

  private Reservation granted(FakeCluster.Daemon server, long tokens) {
    ReservationResult result = reserve(server, tokens);
    assertThat(result).isInstanceOf(ReservationResult.Granted.class);
    return ((ReservationResult.Granted) result).reservation();
  }

  private BudgetRow budget() {
    return cluster.table.get(TableKeys.budget(BUDGET), BudgetRow.class);
  }

  private AllotmentRow allotment(FakeCluster.Daemon holder) {
    return cluster.table.get(
        TableKeys.allotment(holder.info.incarnation(), BUDGET), AllotmentRow.class);
  }

  /** Guards against a server that takes tokens from another holder than the home. */
  @Test
  void reservesAtTheHomeOfTheDomain() {
    assertThat(granted(second, 100).holder()).isEqualTo("a1");
    assertThat(allotment(home).drawn()).isEqualTo(budget().drawn()).isBetween(100L, 400L);
    assertThat(allotment(second)).isNull();
  }

  /** Guards against a reservation that stays open after the answer of its holder was lost. */
  @Test
  void settlesAnOrphanReservationWithZeroUntilAcknowledged() {
    cluster.unreachable.add("a2");
    CompletableFuture<ReservationResult> pending = start(second, BUDGET, 100);
    cluster.scheduler.run(900);
    assertThat(home.allotments.openByServer()).containsKey("a2");
    ReservationResult.Granted granted = (ReservationResult.Granted) cluster.await(pending);
    assertThat(granted.reservation().holder()).isEqualTo("a2");
    assertThat(second.allotments.isSettled()).isFalse();
    cluster.unreachable.clear();
    cluster.scheduler.run(10_000);
    assertThat(home.allotments.openByServer()).isEmpty();
  }

  /** Guards against drawing twice, or granting what was not drawn, after a lost answer. */
  @Test
  void readsBackDrawsWithUnknownOutcome() {
    cluster.table.failWrites(Fault.ANSWER_LOST);
    granted(home, 400);
    assertThat(allotment(home).drawn()).isEqualTo(400);
    cluster.table.failWrites(Fault.REQUEST_LOST);
    granted(home, 400);
    assertThat(allotment(home).drawn()).isEqualTo(budget().drawn()).isEqualTo(800);
  }

  /** Guards against a lost draw that takes effect beside its repetition. */
  @Test
  void lateDrawDoesNotTakeEffectBesideItsRepetition() {
    cluster.table.failWrites(Fault.APPLIED_LATE);
    granted(home, 400);
    cluster.scheduler.run(5_000);
    assertThat(allotment(home).drawn()).isEqualTo(budget().drawn()).isEqualTo(400);
  }

  /** Guards against granting tokens whose return takes effect late. */
  @Test
  void doesNotGrantTokensWhoseReturnIsInDoubt() {
    home.allotments.close(granted(home, 400), 0);
    cluster.table.failWrites(Fault.APPLIED_LATE);
    final CompletableFuture<Long> released =
        home.allotments
            .handleRelease(ReleaseRequest.newBuilder().setBudget(BUDGET).setTokens(400).build())
            .thenApply(r -> r.getReleased());
    cluster.scheduler.run(21);
    cluster.table.isDown = true;
    cluster.scheduler.run(100);
    assertThat(home.allotments.available(BUDGET)).isZero();
    cluster.scheduler.run(5_000);
    cluster.table.isDown = false;
    cluster.scheduler.run(20_000);
    assertThat(released).isCompleted();
    assertThat(budget().drawn()).isEqualTo(allotment(home).drawn() - allotment(home).returned());
  }

  /** Guards against a refusal while other failure domains hold unused tokens. */
  @Test
  void asksOtherDomainsToReleaseBeforeRefusing() {
    elsewhere.allotments.close(granted(elsewhere, 900), 0);
    assertThat(allotment(elsewhere).drawn()).isEqualTo(900);
    granted(home, 950);
    assertThat(reserve(home, 100)).isEqualTo(new ReservationResult.Exhausted(50));
  }

  /** Guards against a refusal that the platform did not confirm. */
  @Test
  void tellsUnavailableWhileThePlatformIsDown() {
    granted(home, 100);
    cluster.table.isDown = true;
    granted(home, 100);
    assertThat(reserve(home, 900)).isInstanceOf(ReservationResult.Unavailable.class);
    cluster.table.isDown = false;
    cluster.scheduler.run(20_000);
    granted(home, 700);
  }

  /** Guards against charging a budget of another client account. */
  @Test
  void refusesBudgetsOfOthersAndImpossibleAmounts() {
    assertThat(cluster.await(start(second, "absent", 1)))
        .isEqualTo(new ReservationResult.UnknownBudget());
    RequestKey other = new RequestKey("other", "r");
    assertThat(cluster.await(second.allotments.reserve(other, BUDGET, 1, WAIT_MILLIS)))
        .isEqualTo(new ReservationResult.UnknownBudget());
    granted(home, 10);
    assertThat(cluster.await(home.allotments.reserve(other, BUDGET, 1, WAIT_MILLIS)))
        .isEqualTo(new ReservationResult.UnknownBudget());
    assertThat(reserve(home, 1_001)).isEqualTo(new ReservationResult.AboveBudget(1_000));
    assertThat(reserve(second, 1_001)).isEqualTo(new ReservationResult.AboveBudget(1_000));
  }

  /** Guards against one write for each reservation or budget. */
  @Test
  void batchesDrawsAndJoinsWaitingReservations() {
    List<CompletableFuture<ReservationResult>> pending = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      grantBudget("b" + i, 1_000);
      pending.add(start(home, "b" + i, 10));
      pending.add(start(home, "b" + i, 20));
    }
    pending.forEach(
        p -> assertThat(cluster.await(p)).isInstanceOf(ReservationResult.Granted.class));
    assertThat(cluster.table.writes).isEqualTo(1);
  }

  /** Guards against a draw that fails for good because others write the same budget. */
  @Test
  void retriesConflictingDraws() {
    CompletableFuture<ReservationResult> one = start(home, BUDGET, 300);
    CompletableFuture<ReservationResult> other = start(elsewhere, BUDGET, 300);
    assertThat(cluster.await(one)).isInstanceOf(ReservationResult.Granted.class);
    assertThat(cluster.await(other)).isInstanceOf(ReservationResult.Granted.class);
    assertThat(budget().drawn()).isEqualTo(allotment(home).drawn() + allotment(elsewhere).drawn());
  }

  /** Guards against tokens that stay stranded at a holder without demand. */
  @Test
  void returnsTheSurplusOfIdleBudgets() {
    home.allotments.close(granted(home, 400), 0);
    cluster.scheduler.run(700_000);
    assertThat(budget().drawn()).isZero();
  }

  /** Guards against a planned stop that strands tokens. */
  @Test
  void stopReturnsWhatWasNotSpent() {
    Reservation r = granted(second, 100);
    second.allotments.close(r, 60);
    cluster.scheduler.run(200);
    cluster.await(home.allotments.stop());
    assertThat(home.allotments.isSettled()).isTrue();
    assertThat(allotment(home).closed()).isTrue();
    assertThat(budget().drawn()).isEqualTo(60);
    assertThat(reserve(home, 1)).isInstanceOf(ReservationResult.Granted.class);
  }

  /** Guards against losing or doubling a ledger when a holder stops during an outage. */
  @Test
  void handsTheLedgerOverWhileThePlatformIsDown() {
    final Reservation open = granted(second, 100);
    cluster.table.isDown = true;
    cluster.await(home.allotments.stop());
    home.crash();
    assertThat(home.allotments.isSettled()).isFalse();
    Reservation next = granted(second, 50);
    assertThat(next.holder()).isEqualTo("a1");
    assertThat(second.allotments.acknowledgeDeath("a1")).isFalse();
    second.allotments.close(open, 70);
    second.allotments.close(next, 50);
    cluster.table.isDown = false;
    cluster.scheduler.run(120_000);
    assertThat(allotment(home)).matches(r -> r.closed() && r.drawn() - r.returned() == 120);
    assertThat(second.allotments.acknowledgeDeath("a1")).isTrue();
  }
}
