package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
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
  private final Set<String> killed = new HashSet<>();

  /** Passes calls on while a process lives. */
  private record MortalTable(TableService table, BooleanSupplier isAlive) implements TableService {

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      return isAlive.getAsBoolean() ? table.transact(mutations) : new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return isAlive.getAsBoolean() ? table.read(keys) : new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return isAlive.getAsBoolean() ? table.scan(prefix, after, limit) : new CompletableFuture<>();
    }
  }

  /** Starts a daemon on a host of its own. */
  private PrepaidBudgets daemon(String name, int daemons, long prepaid) {
    return daemon(name, name + ".1", daemons, prepaid);
  }

  private PrepaidBudgets daemon(String host, String incarnation, int daemons, long prepaid) {
    PrepaidBudgets b =
        new PrepaidBudgets(
            new MortalTable(table, () -> !killed.contains(incarnation)),
            scheduler,
            scheduler::nowMillis,
            new PrepaidBudgets.Identity(host, incarnation),
            800,
            () -> daemons,
            (e, f) -> {});
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
    return table.get("allotment/acme/total", AllotmentRows.TotalRow.class).drawn();
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
    AllotmentRows.HolderRow row = table.get("allotment/acme/host.a", AllotmentRows.HolderRow.class);
    assertThat(row.drawn()).isEqualTo(300);
    assertThat(row.spent()).isEqualTo(300);
    assertThat(row.requests()).isEqualTo(1);
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

  /** Guards against tokens of a killed daemon that stay drawn for the day. */
  @Test
  void takesOverWhatKilledDaemonCannotHaveConsumed() {
    PrepaidBudgets dead = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 30; i++) {
      assertThat(reserve(dead, 1_000)).isInstanceOf(Outcome.Reserved.class);
      dead.settle(ACCOUNT, 1_000, 1_000);
      scheduler.run(200);
    }
    killed.add("a.1");
    PrepaidBudgets fresh = daemon("a", "a.2", 1, 100_000);
    long served = 30_000;
    while (reserve(fresh, 1_000) instanceof Outcome.Reserved) {
      fresh.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
    }
    assertThat(served).isBetween(90_000L, 100_000L);
  }

  /** Guards against a successor that believes the last figure its predecessor wrote. */
  @Test
  void countsWhatKilledDaemonMayHaveConsumedInAnOutage() {
    PrepaidBudgets dead = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 30; i++) {
      assertThat(reserve(dead, 1_000)).isInstanceOf(Outcome.Reserved.class);
      dead.settle(ACCOUNT, 1_000, 1_000);
    }
    long served = 30_000;
    table.isDown = true;
    while (dead.reserve(ACCOUNT, 1_000, TIMEOUT_MILLIS).join() instanceof Outcome.Reserved) {
      dead.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
      scheduler.run(300);
    }
    assertThat(served).isGreaterThan(33_000L);
    table.isDown = false;
    killed.add("a.1");
    PrepaidBudgets fresh = daemon("a", "a.2", 1, 100_000);
    while (reserve(fresh, 1_000) instanceof Outcome.Reserved) {
      fresh.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
    }
    assertThat(served).isLessThanOrEqualTo(100_000L);
  }

  /** Guards against a restart right before an outage, which left the fresh run without tokens. */
  @Test
  void holdsWhatItsPredecessorNeededBeforeTheFirstRequest() {
    PrepaidBudgets stopped = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 10; i++) {
      assertThat(reserve(stopped, 1_000)).isInstanceOf(Outcome.Reserved.class);
      stopped.settle(ACCOUNT, 1_000, 1_000);
    }
    var end = stopped.stop();
    scheduler.run(100);
    assertThat(end).isCompleted();
    assertThat(drawnByAll()).isEqualTo(10_000);
    PrepaidBudgets fresh = daemon("a", "a.2", 1, 100_000);
    scheduler.run(500);
    table.isDown = true;
    for (int i = 0; i < 8; i++) {
      var outcome = fresh.reserve(ACCOUNT, 1_000, TIMEOUT_MILLIS);
      assertThat(outcome).isCompletedWithValueMatching(o -> o instanceof Outcome.Reserved);
      fresh.settle(ACCOUNT, 1_000, 1_000);
      scheduler.run(1_000);
    }
  }

  /** Guards against refusals that name an outage which ended long ago. */
  @Test
  void drawsAgainAfterAnOutageDuringWhichNothingWasNeeded() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 1_000)).isInstanceOf(Outcome.Reserved.class);
    a.settle(ACCOUNT, 1_000, 1_000);
    table.isDown = true;
    scheduler.run(8_000);
    assertThat(reserve(a, 90_000)).isInstanceOf(Outcome.Unavailable.class);
    table.isDown = false;
    scheduler.run(2 * AccountBudget.RETRY_MILLIS);
    assertThat(reserve(a, 90_000)).isInstanceOf(Outcome.Reserved.class);
  }

  /** Guards against two processes that spend the same tokens. */
  @Test
  void spendsNothingOnceAnotherProcessTookOver() {
    PrepaidBudgets old = daemon("a", "a.1", 1, 100_000);
    assertThat(reserve(old, 1_000)).isInstanceOf(Outcome.Reserved.class);
    PrepaidBudgets fresh = daemon("a", "a.2", 1, 100_000);
    assertThat(reserve(fresh, 1_000)).isInstanceOf(Outcome.Reserved.class);
    old.onAccounts(terms(90_000));
    scheduler.run(10_000);
    assertThat(reserve(old, 1)).isNotInstanceOf(Outcome.Reserved.class);
  }

  /** Guards against refusals in an outage at the one daemon that most callers use. */
  @Test
  void holdsMoreWhereTheDemandIs() {
    PrepaidBudgets idle = daemon("idle", 4, 200_000);
    PrepaidBudgets busy = daemon("busy", 4, 200_000);
    for (int i = 0; i < 20; i++) {
      if (i % 10 == 0) {
        assertThat(reserve(idle, 1_000)).isInstanceOf(Outcome.Reserved.class);
        idle.settle(ACCOUNT, 1_000, 1_000);
      }
      for (int k = 0; k < 3; k++) {
        assertThat(reserve(busy, 1_000)).isInstanceOf(Outcome.Reserved.class);
        busy.settle(ACCOUNT, 1_000, 1_000);
      }
    }
    scheduler.run(3_000);
    table.isDown = true;
    int served = 0;
    while (served < 24
        && busy.reserve(ACCOUNT, 1_000, TIMEOUT_MILLIS).join() instanceof Outcome.Reserved) {
      busy.settle(ACCOUNT, 1_000, 1_000);
      served++;
      scheduler.run(1_000);
    }
    // The same demand as before, for the longest outage of the sites, eight seconds.
    assertThat(served).isGreaterThanOrEqualTo(8);
  }

  /** Guards against a 402 while other daemons hold most of the budget. */
  @Test
  void tellsTokensHeldElsewhereFromAnExhaustedBudget() {
    // Another host has drawn the whole budget and consumed two thirds of it.
    table.put("allotment/acme/total", new AllotmentRows.TotalRow(62_000, 40_000, 20_000));
    PrepaidBudgets b = daemon("b", 2, 62_000);
    assertThat(reserve(b, 4_000)).isInstanceOf(Outcome.HeldElsewhere.class);
    assertThat(reserve(b, 60_000)).isInstanceOf(Outcome.Exhausted.class);
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
    int[] alive = {-1, -1, -1};
    for (int step = 0; step < 120; step++) {
      int n = random.nextInt(3);
      if (random.nextInt(25) == 0) {
        // The old process is gone; its successor takes over what it can't have consumed.
        t.killed.add("d" + n + "." + (alive[n] < 0 ? 1 : alive[n]));
        alive[n] = step + 2;
        daemons.set(n, t.daemon("d" + n, "d" + n + "." + alive[n], 3, granted));
      }
      t.table.isDown = random.nextInt(6) == 0;
      long tokens = 1L + random.nextInt(1_500);
      PrepaidBudgets d = daemons.get(n);
      int life = alive[n];
      var unused =
          d.reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
              .thenAccept(
                  o -> {
                    // A dead process sends nothing to an upstream any more.
                    if (o instanceof Outcome.Reserved && alive[n] == life) {
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
