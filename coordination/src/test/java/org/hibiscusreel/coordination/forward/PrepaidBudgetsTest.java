package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.FakeTable.Fault;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.AccountTerms;
import org.junit.jupiter.api.Test;

class PrepaidBudgetsTest {

  private static final String ACCOUNT = "acme";
  private static final List<Fault> FAULTS = List.of(Fault.values());
  private static final long TIMEOUT_MILLIS = 1_000;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);

  private PrepaidBudgets daemon(String incarnation, int daemons, long prepaid) {
    PrepaidBudgets b =
        new PrepaidBudgets(table, scheduler, incarnation, () -> daemons, (e, f) -> {});
    b.onAccounts(terms(prepaid));
    b.start();
    return b;
  }

  private static List<AccountTerms> terms(long prepaid) {
    return List.of(new AccountTerms(ACCOUNT, OptionalInt.empty(), OptionalLong.of(prepaid)));
  }

  private Outcome reserve(PrepaidBudgets budgets, long tokens) {
    var outcome = budgets.reserve(ACCOUNT, tokens, TIMEOUT_MILLIS);
    scheduler.run(TIMEOUT_MILLIS);
    return outcome.join();
  }

  private long drawnByAll() {
    return table.get("allotment/acme/total", AccountBudget.TotalRow.class).drawn();
  }

  @Test
  void servesWhatTheBudgetCoversAndRefusesTheRest() {
    PrepaidBudgets a = daemon("a", 1, 1_000);
    assertThat(reserve(a, 600)).isInstanceOf(Outcome.Reserved.class);
    assertThat(reserve(a, 600)).isInstanceOf(Outcome.Exhausted.class);
    assertThat(reserve(a, 400)).isInstanceOf(Outcome.Reserved.class);
    assertThat(drawnByAll()).isEqualTo(1_000);
  }

  /** Guards against a daemon that keeps the rest of a budget although it can't use it. */
  @Test
  void leavesTheRestToOthersIfItCoversNoWaitingRequest() {
    PrepaidBudgets a = daemon("a", 2, 1_000);
    final PrepaidBudgets b = daemon("b", 2, 1_000);
    assertThat(reserve(a, 700)).isInstanceOf(Outcome.Reserved.class);
    assertThat(reserve(a, 500)).isInstanceOf(Outcome.Exhausted.class);
    assertThat(reserve(b, 200)).isInstanceOf(Outcome.Reserved.class);
  }

  /** Guards against refusals during an outage of the store while most of a budget is left. */
  @Test
  void ridesOutAnOutageOfTheStoreFromWhatItHolds() {
    PrepaidBudgets a = daemon("a", 4, 1_000_000);
    for (int i = 0; i < 20; i++) {
      assertThat(reserve(a, 500)).isInstanceOf(Outcome.Reserved.class);
      a.settle(ACCOUNT, 500, 500);
    }
    table.isDown = true;
    for (int i = 0; i < 8; i++) {
      assertThat(reserve(a, 500)).isInstanceOf(Outcome.Reserved.class);
      a.settle(ACCOUNT, 500, 500);
    }
  }

  @Test
  void refusesAtOnceWhileTheStoreIsAwayAndNothingIsHeld() {
    table.isDown = true;
    PrepaidBudgets a = daemon("a", 1, 1_000);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Unavailable.class);
    assertThat(a.reserve(ACCOUNT, 100, TIMEOUT_MILLIS)).isCompleted();
    table.isDown = false;
    scheduler.run(2 * AccountBudget.RETRY_MILLIS);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Reserved.class);
  }

  @Test
  void givesBackWhatIsFreeWhenItStops() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 500)).isInstanceOf(Outcome.Reserved.class);
    a.settle(ACCOUNT, 500, 300);
    var stopped = a.stop();
    scheduler.run(100);
    assertThat(stopped).isCompleted();
    assertThat(drawnByAll()).isEqualTo(300);
    assertThat(table.get("allotment/acme/a", AccountBudget.HolderRow.class))
        .isEqualTo(new AccountBudget.HolderRow(300, 300, 1));
  }

  @Test
  void givesBackWhatIsFreeWhenBudgetIsCut() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 500)).isInstanceOf(Outcome.Reserved.class);
    a.onAccounts(terms(200));
    scheduler.run(100);
    assertThat(drawnByAll()).isEqualTo(500);
    assertThat(reserve(a, 10)).isInstanceOf(Outcome.Exhausted.class);
  }

  /** Guards against tokens that an idle daemon keeps while the budget runs out elsewhere. */
  @Test
  void givesBackWhatAnIdleDaemonHoldsWhenTheBudgetRunsLow() {
    PrepaidBudgets idle = daemon("idle", 2, 100_000);
    for (int i = 0; i < 5; i++) {
      assertThat(reserve(idle, 2_000)).isInstanceOf(Outcome.Reserved.class);
      idle.settle(ACCOUNT, 2_000, 2_000);
    }
    PrepaidBudgets busy = daemon("busy", 2, 100_000);
    long served = 5 * 2_000;
    for (int i = 0; i < 60; i++) {
      if (reserve(busy, 2_000) instanceof Outcome.Reserved) {
        busy.settle(ACCOUNT, 2_000, 2_000);
        served += 2_000;
      }
    }
    // The users' target: what fits into 97 in 100 of the prepaid tokens is served.
    assertThat(served).isGreaterThanOrEqualTo(97_000);
  }

  /** Guards against spending tokens that a give-back with a lost answer has taken away. */
  @Test
  void doesNotSpendWhatGiveBackOfUnknownOutcomeMayHaveTaken() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 5_000)).isInstanceOf(Outcome.Reserved.class);
    a.settle(ACCOUNT, 5_000, 5_000);
    scheduler.run(PrepaidBudgets.REVIEW_INTERVAL_MILLIS);
    assertThat(drawnByAll()).isGreaterThan(5_000);
    table.failWrites(Fault.APPLIED_LATE);
    a.onAccounts(terms(5_000));
    scheduler.run(4);
    table.isDown = true;
    a.onAccounts(terms(100_000));
    assertThat(reserve(a, 1)).isInstanceOf(Outcome.Unavailable.class);
  }

  /** Guards against overspending under lost and late answers, deaths, cuts and top-ups. */
  @Property(tries = 200, seed = "20261204")
  void neverSpendsMoreThanWasGranted(@ForAll long seed) {
    Random random = new Random(seed);
    PrepaidBudgetsTest t = new PrepaidBudgetsTest();
    t.table.randomFaults =
        () -> random.nextInt(4) == 0 ? FAULTS.get(random.nextInt(FAULTS.size())) : Fault.NONE;
    long granted = 5_000L + random.nextInt(20_000);
    List<PrepaidBudgets> daemons = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      daemons.add(t.daemon("d" + i, 3, granted));
    }
    long[] used = new long[1];
    for (int step = 0; step < 120; step++) {
      int n = random.nextInt(3);
      if (random.nextInt(25) == 0) {
        // The old process is gone; what it had drawn stays drawn.
        daemons.set(n, t.daemon("d" + n + "." + step, 3, granted));
      }
      t.table.isDown = random.nextInt(6) == 0;
      long tokens = 1L + random.nextInt(1_500);
      PrepaidBudgets d = daemons.get(n);
      var unused =
          d.reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
              .thenAccept(
                  o -> {
                    if (o instanceof Outcome.Reserved) {
                      long consumed = random.nextInt((int) tokens + 1);
                      used[0] += consumed;
                      t.scheduler.schedule(
                          random.nextInt(300), () -> d.settle(ACCOUNT, tokens, consumed));
                    }
                  });
      t.scheduler.run(random.nextInt(400));
      if (random.nextInt(30) == 0) {
        granted += 2_000;
        List<AccountTerms> more = terms(granted);
        daemons.forEach(b -> b.onAccounts(more));
      }
      assertThat(used[0]).isLessThanOrEqualTo(granted);
    }
  }
}
