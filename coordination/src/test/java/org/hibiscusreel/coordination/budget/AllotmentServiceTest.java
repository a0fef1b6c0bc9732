package org.hibiscusreel.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.testing.FakeCluster;
import org.hibiscusreel.coordination.testing.FakeTable.Fault;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.wire.ReleaseRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AllotmentServiceTest {

  private static final String BUDGET = "main";
  private static final long WAIT_MILLIS = 3_000;

  private final FakeCluster cluster = new FakeCluster(7);
  private FakeCluster.Daemon primary;
  private FakeCluster.Daemon secondary;
  private FakeCluster.Daemon inOtherDomain;

  @BeforeEach
  void addDaemons() {
    primary = cluster.add("a1", "a");
    secondary = cluster.add("a2", "a");
    inOtherDomain = cluster.add("b1", "b");
    grantBudget(BUDGET, 1_000);
  }

  private void grantBudget(String budget, long tokens) {
    BudgetRow row = new BudgetRow("account", tokens, 0, AllotmentPolicy.BALANCED, List.of());
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

  /** Guards against a server that reserves at a holder other than the first-ranked one. */
  @Test
  void reservesAtTheFirstRankedHolder() {
    assertThat(granted(secondary, 100).holder()).isEqualTo("a1");
    assertThat(allotment(primary).drawn()).isEqualTo(budget().drawn()).isBetween(100L, 400L);
    assertThat(allotment(secondary)).isNull();
  }

  /** Guards against a reservation that stays open after the response of its holder was lost. */
  @Test
  void settlesAnOrphanReservationWithZeroUntilAcknowledged() {
    cluster.unreachable.add("a2");
    CompletableFuture<ReservationResult> pending = start(secondary, BUDGET, 100);
    cluster.scheduler.run(900);
    assertThat(primary.allotments.openByServer()).containsKey("a2");
    ReservationResult.Granted granted = (ReservationResult.Granted) cluster.await(pending);
    assertThat(granted.reservation().holder()).isEqualTo("a2");
    assertThat(secondary.allotments.isSettled()).isFalse();
    cluster.unreachable.clear();
    cluster.scheduler.run(10_000);
    assertThat(primary.allotments.openByServer()).isEmpty();
  }

  /**
   * Guards against drawing twice, or granting tokens that were not drawn, after a lost response.
   */
  @Test
  void readsBackDrawsWithUnknownOutcome() {
    cluster.table.failWrites(Fault.RESPONSE_LOST);
    granted(primary, 400);
    assertThat(allotment(primary).drawn()).isEqualTo(400);
    cluster.table.failWrites(Fault.REQUEST_LOST);
    granted(primary, 400);
    assertThat(allotment(primary).drawn()).isEqualTo(budget().drawn()).isEqualTo(800);
  }

  /** Guards against a delayed draw that takes effect in addition to its retry. */
  @Test
  void lateDrawDoesNotTakeEffectBesideItsRepetition() {
    cluster.table.failWrites(Fault.APPLIED_LATE);
    granted(primary, 400);
    cluster.scheduler.run(5_000);
    assertThat(allotment(primary).drawn()).isEqualTo(budget().drawn()).isEqualTo(400);
  }

  /** Guards against granting tokens whose return is still in progress and takes effect late. */
  @Test
  void doesNotGrantTokensWhoseReturnIsInDoubt() {
    primary.allotments.close(granted(primary, 400), 0);
    cluster.table.failWrites(Fault.APPLIED_LATE);
    final CompletableFuture<Long> released =
        primary
            .allotments
            .handleRelease(ReleaseRequest.newBuilder().setBudget(BUDGET).setTokens(400).build())
            .thenApply(r -> r.getReleased());
    cluster.scheduler.run(21);
    cluster.table.isDown = true;
    cluster.scheduler.run(100);
    assertThat(primary.allotments.available(BUDGET)).isZero();
    cluster.scheduler.run(5_000);
    cluster.table.isDown = false;
    cluster.scheduler.run(20_000);
    assertThat(released).isCompleted();
    assertThat(budget().drawn())
        .isEqualTo(allotment(primary).drawn() - allotment(primary).returned());
  }

  /** Guards against a refusal while other failure domains hold unused tokens. */
  @Test
  void asksOtherDomainsToReleaseBeforeRefusing() {
    inOtherDomain.allotments.close(granted(inOtherDomain, 900), 0);
    assertThat(allotment(inOtherDomain).drawn()).isEqualTo(900);
    granted(primary, 950);
    assertThat(reserve(primary, 100)).isEqualTo(new ReservationResult.Exhausted(50));
  }

  /** Guards against a refusal that the platform did not confirm. */
  @Test
  void reportsUnavailableWhileThePlatformIsDown() {
    granted(primary, 100);
    cluster.table.isDown = true;
    granted(primary, 100);
    assertThat(reserve(primary, 900)).isInstanceOf(ReservationResult.Unavailable.class);
    cluster.table.isDown = false;
    cluster.scheduler.run(20_000);
    granted(primary, 700);
  }

  /** Guards against charging a budget of another client account. */
  @Test
  void refusesBudgetsOfOtherAccountsAndAmountsAboveTheBudget() {
    assertThat(cluster.await(start(secondary, "absent", 1)))
        .isEqualTo(new ReservationResult.UnknownBudget());
    RequestKey other = new RequestKey("other", "r");
    assertThat(cluster.await(secondary.allotments.reserve(other, BUDGET, 1, WAIT_MILLIS)))
        .isEqualTo(new ReservationResult.UnknownBudget());
    granted(primary, 10);
    assertThat(cluster.await(primary.allotments.reserve(other, BUDGET, 1, WAIT_MILLIS)))
        .isEqualTo(new ReservationResult.UnknownBudget());
    assertThat(reserve(primary, 1_001)).isEqualTo(new ReservationResult.AboveBudget(1_000));
    assertThat(reserve(secondary, 1_001)).isEqualTo(new ReservationResult.AboveBudget(1_000));
  }

  /** Guards against a separate write for each reservation or budget. */
  @Test
  void batchesDrawsAndJoinsWaitingReservations() {
    List<CompletableFuture<ReservationResult>> pending = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      grantBudget("b" + i, 1_000);
      pending.add(start(primary, "b" + i, 10));
      pending.add(start(primary, "b" + i, 20));
    }
    pending.forEach(
        p -> assertThat(cluster.await(p)).isInstanceOf(ReservationResult.Granted.class));
    assertThat(cluster.table.writes).isEqualTo(1);
  }

  /**
   * Guards against a draw that fails permanently because other holders write the same budget row.
   */
  @Test
  void retriesConflictingDraws() {
    CompletableFuture<ReservationResult> one = start(primary, BUDGET, 300);
    CompletableFuture<ReservationResult> other = start(inOtherDomain, BUDGET, 300);
    assertThat(cluster.await(one)).isInstanceOf(ReservationResult.Granted.class);
    assertThat(cluster.await(other)).isInstanceOf(ReservationResult.Granted.class);
    assertThat(budget().drawn())
        .isEqualTo(allotment(primary).drawn() + allotment(inOtherDomain).drawn());
  }

  /** Guards against tokens that stay stranded at a holder without demand. */
  @Test
  void returnsTheSurplusOfIdleBudgets() {
    primary.allotments.close(granted(primary, 400), 0);
    cluster.scheduler.run(700_000);
    assertThat(budget().drawn()).isZero();
  }

  /** Guards against a graceful stop that strands tokens. */
  @Test
  void stopReturnsWhatWasNotSpent() {
    Reservation r = granted(secondary, 100);
    secondary.allotments.close(r, 60);
    cluster.scheduler.run(200);
    cluster.await(primary.allotments.stop());
    assertThat(primary.allotments.isSettled()).isTrue();
    assertThat(allotment(primary).closed()).isTrue();
    assertThat(budget().drawn()).isEqualTo(60);
    assertThat(reserve(primary, 1)).isInstanceOf(ReservationResult.Granted.class);
  }

  /** Guards against losing or duplicating a ledger when a holder stops during a platform outage. */
  @Test
  void handsTheLedgerOverWhileThePlatformIsDown() {
    final Reservation open = granted(secondary, 100);
    cluster.table.isDown = true;
    cluster.await(primary.allotments.stop());
    primary.crash();
    assertThat(primary.allotments.isSettled()).isFalse();
    Reservation next = granted(secondary, 50);
    assertThat(next.holder()).isEqualTo("a1");
    assertThat(secondary.allotments.acknowledgeDeath("a1")).isFalse();
    secondary.allotments.close(open, 70);
    secondary.allotments.close(next, 50);
    cluster.table.isDown = false;
    cluster.scheduler.run(120_000);
    assertThat(allotment(primary)).matches(r -> r.closed() && r.drawn() - r.returned() == 120);
    assertThat(secondary.allotments.acknowledgeDeath("a1")).isTrue();
  }
}
