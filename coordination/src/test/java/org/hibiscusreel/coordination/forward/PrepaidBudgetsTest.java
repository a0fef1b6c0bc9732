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
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.platform.ObservedStoreClock;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.FakeTable.Fault;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.testing.VirtualStoreClock;
import org.hibiscusreel.core.forward.AccountSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class PrepaidBudgetsTest {

  private static final String ACCOUNT = "acme";
  private static final List<Fault> FAULTS = List.of(Fault.values());
  private static final long TIMEOUT_MILLIS = 1_000;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final List<String> logged = new ArrayList<>();
  private final Set<String> killed = new HashSet<>();

  /** Starts a daemon on its own host. */
  private PrepaidBudgets daemon(String name, int daemons, long prepaid) {
    return daemon(name, name + ".1", daemons, prepaid);
  }

  private PrepaidBudgets daemon(String host, String incarnation, int daemons, long prepaid) {
    PrepaidBudgets b = daemon(host, incarnation, daemons, new VirtualStoreClock(scheduler));
    b.updateAccounts(accountTerms(prepaid));
    return b;
  }

  /** Starts a daemon that does not know the accounts yet. */
  private PrepaidBudgets daemon(String host, String incarnation, int daemons, StoreClock clock) {
    PrepaidBudgets b =
        new PrepaidBudgets(
            new KillableTable(table, () -> !killed.contains(incarnation)),
            scheduler,
            clock,
            new PrepaidBudgets.Identity(host, incarnation),
            800,
            () -> daemons,
            new HolderCopies(scheduler, new NoOpHolderTransport(), ""),
            (e, f) -> logged.add(e));
    b.start();
    return b;
  }

  private static List<AccountSettings> accountTerms(long prepaid) {
    return List.of(new AccountSettings(ACCOUNT, OptionalInt.empty(), OptionalLong.of(prepaid)));
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
  void reservesUpToTheBudgetAndRefusesTheRest() {
    PrepaidBudgets a = daemon("a", 1, 1_000);
    assertThat(reserve(a, 600)).isInstanceOf(Outcome.Reserved.class);
    assertThat(reserve(a, 600)).isInstanceOf(Outcome.Exhausted.class);
    assertThat(reserve(a, 400)).isInstanceOf(Outcome.Reserved.class);
    assertThat(drawnByAll()).isEqualTo(1_000);
  }

  /**
   * Guards against a daemon that draws the rest of a budget although it covers no waiting request.
   */
  @Test
  void doesNotDrawTokensThatCoverNoWaitingRequest() {
    PrepaidBudgets a = daemon("a", 2, 1_000);
    final PrepaidBudgets b = daemon("b", 2, 1_000);
    assertThat(reserve(a, 700)).isInstanceOf(Outcome.Reserved.class);
    assertThat(reserve(a, 500)).isInstanceOf(Outcome.Exhausted.class);
    assertThat(reserve(b, 200)).isInstanceOf(Outcome.Reserved.class);
  }

  static Stream<String> spoiltRows() {
    return Stream.of(
        "",
        "x",
        "null",
        "[]",
        "{}",
        "{\"drawn\":0}",
        "{\"drawn\":-1000000,\"committed\":0,\"wanted\":0}",
        "{\"drawn\":\"0\",\"committed\":0,\"wanted\":0}",
        "{\"drawn\":0.5,\"committed\":0,\"wanted\":0}",
        "{\"drawn\":null,\"committed\":0,\"wanted\":0}",
        "{\"drawn\":0,\"committed\":9e18,\"wanted\":0}",
        "{\"drawn\":0,\"committed\":1e999999999,\"wanted\":0}",
        "{\"drawn\":99999999999999999999,\"committed\":0,\"wanted\":0}",
        "{\"drawn\":0,\"committed\":0,\"wanted\":0}",
        "{\"drawn\":0,\"committed\":0,\"wanted\":0,\"x\":" + "[".repeat(100_000));
  }

  /** Returns the tokens that are reserved by as many requests as are accepted in ten seconds. */
  private long reserveRepeatedly(PrepaidBudgets budgets, long tokens) {
    long reserved = 0;
    for (int i = 0; i < 10; i++) {
      reserved += reserve(budgets, tokens) instanceof Outcome.Reserved ? tokens : 0;
    }
    return reserved;
  }

  /**
   * Guards against drawing tokens twice after another writer has spoilt the row with the tokens
   * that were drawn by all.
   */
  @ParameterizedTest
  @MethodSource("spoiltRows")
  void drawsNothingWhileTheRowOfTheAccountIsSpoilt(String text) {
    PrepaidBudgets a = daemon("a", 2, 1_000);
    final PrepaidBudgets b = daemon("b", 2, 1_000);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Reserved.class);
    assertThat(reserve(b, 600)).isInstanceOf(Outcome.Reserved.class);
    table.putText("allotment/acme/total", text);
    assertThat(reserveRepeatedly(a, 250) + reserveRepeatedly(b, 250)).isLessThanOrEqualTo(300);
    assertThat(table.all("allotment/acme/total").get(0).value()).isEqualTo(text);
    assertThat(logged).filteredOn("allotment_unusable"::equals).hasSizeBetween(1, 6);
    var stopped = CompletableFuture.allOf(a.stop(), b.stop());
    scheduler.run(2_000);
    assertThat(stopped).isCompleted();
  }

  /** Guards against a daemon that draws nothing any more once a row has been spoilt. */
  @Test
  void drawsAgainOnceTheSpoiltRowIsRepaired() {
    PrepaidBudgets a = daemon("a", 1, 1_000);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Reserved.class);
    var total = table.get("allotment/acme/total", AllotmentRows.TotalRow.class);
    table.putText("allotment/acme/total", "x");
    assertThat(reserveRepeatedly(a, 950)).isZero();
    table.put("allotment/acme/total", total);
    scheduler.run(2 * AccountBudget.UNUSABLE_RETRY_MILLIS);
    assertThat(reserve(a, 900)).isInstanceOf(Outcome.Reserved.class);
  }

  /** Guards against a successor that takes over more than the dead run can have left. */
  @ParameterizedTest
  @MethodSource("spoiltRows")
  void takesNothingOverFromSpoiltRowOfTheHost(String text) {
    PrepaidBudgets first = daemon("a", "a.1", 1, 1_000);
    assertThat(reserve(first, 900)).isInstanceOf(Outcome.Reserved.class);
    killed.add("a.1");
    table.putText("allotment/acme/host.a", text);
    PrepaidBudgets second = daemon("a", "a.2", 1, 1_000);
    assertThat(reserveRepeatedly(second, 150)).isZero();
    assertThat(logged).contains("allotment_unusable");
  }

  /** Guards against writes without pause while a row that was known is gone. */
  @ParameterizedTest
  @ValueSource(strings = {"allotment/acme/total", "allotment/acme/host.a"})
  void pausesWhileRowIsGone(String key) {
    PrepaidBudgets a = daemon("a", 1, 1_000);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Reserved.class);
    table.remove(key);
    table.omitsAbsentRows = true;
    int before = table.writes;
    assertThat(reserveRepeatedly(a, 950)).isZero();
    assertThat(table.writes - before).isLessThan(20);
    assertThat(logged).contains("allotment_unusable");
  }

  /** Guards against refusals during a store outage while most of the budget is unspent. */
  @Test
  void servesFromHeldTokensDuringStoreOutage() {
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
  void refusesImmediatelyDuringStoreOutageWithoutHeldTokens() {
    table.isDown = true;
    PrepaidBudgets a = daemon("a", 1, 1_000);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Unavailable.class);
    assertThat(a.reserve(ACCOUNT, 100, TIMEOUT_MILLIS)).isCompleted();
    table.isDown = false;
    scheduler.run(2 * AccountBudget.RETRY_DELAY_MILLIS);
    assertThat(reserve(a, 100)).isInstanceOf(Outcome.Reserved.class);
  }

  @Test
  void returnsFreeTokensWhenStopped() {
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
  void returnsFreeTokensWhenBudgetIsCut() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 500)).isInstanceOf(Outcome.Reserved.class);
    a.updateAccounts(accountTerms(200));
    scheduler.run(100);
    assertThat(drawnByAll()).isEqualTo(500);
    assertThat(reserve(a, 10)).isInstanceOf(Outcome.Exhausted.class);
  }

  /** Guards against an idle daemon that keeps tokens while the budget runs out on other daemons. */
  @Test
  void returnsTokensOfAnIdleDaemonWhenTheBudgetIsLow() {
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
    // Target of the users: requests that fit into 97 percent of the prepaid tokens are served.
    assertThat(served).isGreaterThanOrEqualTo(97_000);
  }

  /** Guards against spending tokens that a write with a lost response may already have returned. */
  @Test
  void doesNotSpendTokensOfReturnWithUnknownOutcome() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 5_000)).isInstanceOf(Outcome.Reserved.class);
    a.settle(ACCOUNT, 5_000, 5_000);
    scheduler.run(PrepaidBudgets.REBALANCE_INTERVAL_MILLIS);
    assertThat(drawnByAll()).isGreaterThan(5_000);
    table.failWrites(Fault.APPLIED_LATE);
    a.updateAccounts(accountTerms(5_000));
    scheduler.run(4);
    table.isDown = true;
    a.updateAccounts(accountTerms(100_000));
    assertThat(reserve(a, 1)).isInstanceOf(Outcome.Unavailable.class);
  }

  /** Guards against tokens of a killed daemon that stay drawn until the end of the day. */
  @Test
  void takesOverTokensThatKilledDaemonCannotHaveConsumed() {
    PrepaidBudgets killedDaemon = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 30; i++) {
      assertThat(reserve(killedDaemon, 1_000)).isInstanceOf(Outcome.Reserved.class);
      killedDaemon.settle(ACCOUNT, 1_000, 1_000);
      scheduler.run(200);
    }
    killed.add("a.1");
    PrepaidBudgets successor = daemon("a", "a.2", 1, 100_000);
    long served = 30_000;
    while (reserve(successor, 1_000) instanceof Outcome.Reserved) {
      successor.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
    }
    assertThat(served).isBetween(90_000L, 100_000L);
  }

  /** Guards against a successor that takes the last spent value of its predecessor as exact. */
  @Test
  void countsTokensThatKilledDaemonMayHaveConsumedDuringAnOutage() {
    PrepaidBudgets killedDaemon = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 30; i++) {
      assertThat(reserve(killedDaemon, 1_000)).isInstanceOf(Outcome.Reserved.class);
      killedDaemon.settle(ACCOUNT, 1_000, 1_000);
    }
    long served = 30_000;
    table.isDown = true;
    while (killedDaemon.reserve(ACCOUNT, 1_000, TIMEOUT_MILLIS).join()
        instanceof Outcome.Reserved) {
      killedDaemon.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
      scheduler.run(300);
    }
    assertThat(served).isGreaterThan(33_000L);
    table.isDown = false;
    killed.add("a.1");
    PrepaidBudgets successor = daemon("a", "a.2", 1, 100_000);
    while (reserve(successor, 1_000) instanceof Outcome.Reserved) {
      successor.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
    }
    assertThat(served).isLessThanOrEqualTo(100_000L);
  }

  /** Guards against a successor that leaves out what a ceiling allowed while it rose. */
  @Test
  void countsAllThatKilledDaemonConsumedUnderRisingCeiling() {
    PrepaidBudgets killedDaemon = daemon("a", "a.1", 1, 1_000_000);
    long consumed = 0;
    for (int i = 0; i < 30; i++) {
      assertThat(reserve(killedDaemon, 1_000)).isInstanceOf(Outcome.Reserved.class);
      killedDaemon.settle(ACCOUNT, 1_000, 1_000);
      consumed += 1_000;
    }
    table.isDown = true;
    for (long end = scheduler.nowMillis() + 10_000; scheduler.nowMillis() < end; ) {
      var outcome = killedDaemon.reserve(ACCOUNT, 100, TIMEOUT_MILLIS);
      if (outcome.getNow(new Outcome.Exhausted()) instanceof Outcome.Reserved) {
        killedDaemon.settle(ACCOUNT, 100, 100);
        consumed += 100;
      }
      scheduler.run(10);
    }
    // More than the steady part of the ceiling: the mean request and four seconds of demand.
    assertThat(consumed).isGreaterThan(36_000);
    table.isDown = false;
    killed.add("a.1");
    final PrepaidBudgets successor = daemon("a", "a.2", 1, 1_000_000);
    assertThat(reserve(successor, 1_000)).isInstanceOf(Outcome.Reserved.class);
    AllotmentRows.HolderRow row = table.get("allotment/acme/host.a", AllotmentRows.HolderRow.class);
    assertThat(row.spent()).isBetween(consumed, consumed + 1_000);
  }

  /** Guards against tokens that a takeover strands because it comes long after the end. */
  @Test
  void countsNothingAsConsumedAfterTheKilledDaemonHadEnded() {
    PrepaidBudgets killedDaemon = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 30; i++) {
      assertThat(reserve(killedDaemon, 1_000)).isInstanceOf(Outcome.Reserved.class);
      killedDaemon.settle(ACCOUNT, 1_000, 1_000);
      scheduler.run(200);
    }
    killed.add("a.1");
    PrepaidBudgets successor = daemon("a", "a.2", 1, new VirtualStoreClock(scheduler));
    scheduler.run(30_000);
    successor.updateAccounts(accountTerms(100_000));
    long served = 30_000;
    while (reserve(successor, 1_000) instanceof Outcome.Reserved) {
      successor.settle(ACCOUNT, 1_000, 1_000);
      served += 1_000;
    }
    assertThat(served).isBetween(90_000L, 100_000L);
  }

  /** Guards against a row of an older version that counts as spoilt after an upgrade. */
  @Test
  void takesOverRowOfAnOlderVersion() {
    table.put("allotment/acme/total", new AllotmentRows.TotalRow(50_000, 20_000, 20_000));
    table.putText(
        "allotment/acme/host.a",
        "{\"incarnation\":\"a.1\",\"drawn\":50000,\"spent\":20000,\"committed\":20000,"
            + "\"requests\":20,\"wanted\":20000,\"forecast\":20000,"
            + "\"ceiling\":{\"base\":30000,\"tokensPerMilli\":1.5,\"sinceMillis\":0}}");
    scheduler.run(5_000);
    PrepaidBudgets successor = daemon("a", "a.2", 1, 60_000);
    assertThat(reserve(successor, 1_000)).isInstanceOf(Outcome.Reserved.class);
    AllotmentRows.HolderRow row = table.get("allotment/acme/host.a", AllotmentRows.HolderRow.class);
    // The older version allowed itself 30,000 and five seconds of the rise.
    assertThat(row.spent()).isEqualTo(37_500);
  }

  /** Guards against spending tokens of a killed daemon before it is known when it had ended. */
  @Test
  void takesOverNothingUntilTheEndOfTheKilledDaemonIsKnown() {
    PrepaidBudgets killedDaemon = daemon("a", "a.1", 1, 100_000);
    assertThat(reserve(killedDaemon, 1_000)).isInstanceOf(Outcome.Reserved.class);
    killed.add("a.1");
    ObservedStoreClock clock = new ObservedStoreClock(scheduler::nowMillis);
    PrepaidBudgets successor = daemon("a", "a.2", 1, clock);
    successor.updateAccounts(accountTerms(100_000));
    assertThat(reserve(successor, 1_000)).isInstanceOf(Outcome.Unavailable.class);
    clock.observeWrite(scheduler.nowMillis(), clock.beginCall());
    scheduler.run(2 * AccountBudget.RETRY_DELAY_MILLIS);
    assertThat(reserve(successor, 1_000)).isInstanceOf(Outcome.Reserved.class);
  }

  /**
   * Guards against a new incarnation without tokens after a restart right before a store outage.
   */
  @Test
  void drawsTheForecastOfItsPredecessorBeforeTheFirstRequest() {
    PrepaidBudgets stopped = daemon("a", "a.1", 1, 100_000);
    for (int i = 0; i < 10; i++) {
      assertThat(reserve(stopped, 1_000)).isInstanceOf(Outcome.Reserved.class);
      stopped.settle(ACCOUNT, 1_000, 1_000);
    }
    var end = stopped.stop();
    scheduler.run(100);
    assertThat(end).isCompleted();
    assertThat(drawnByAll()).isEqualTo(10_000);
    PrepaidBudgets successor = daemon("a", "a.2", 1, 100_000);
    scheduler.run(500);
    table.isDown = true;
    for (int i = 0; i < 8; i++) {
      var outcome = successor.reserve(ACCOUNT, 1_000, TIMEOUT_MILLIS);
      assertThat(outcome).isCompletedWithValueMatching(o -> o instanceof Outcome.Reserved);
      successor.settle(ACCOUNT, 1_000, 1_000);
      scheduler.run(1_000);
    }
  }

  /** Guards against refusals that are still caused by an outage that has ended. */
  @Test
  void drawsAgainAfterAnOutageWithoutDemand() {
    PrepaidBudgets a = daemon("a", 1, 100_000);
    assertThat(reserve(a, 1_000)).isInstanceOf(Outcome.Reserved.class);
    a.settle(ACCOUNT, 1_000, 1_000);
    table.isDown = true;
    scheduler.run(8_000);
    assertThat(reserve(a, 90_000)).isInstanceOf(Outcome.Unavailable.class);
    table.isDown = false;
    scheduler.run(2 * AccountBudget.RETRY_DELAY_MILLIS);
    assertThat(reserve(a, 90_000)).isInstanceOf(Outcome.Reserved.class);
  }

  /** Guards against ever more calls to the store while it is away and requests are served. */
  @Test
  void triesAgainOnlyOncePerDelayDuringAnOutage() {
    PrepaidBudgets a = daemon("a", 4, 1_000_000);
    for (int i = 0; i < 20; i++) {
      assertThat(reserve(a, 500)).isInstanceOf(Outcome.Reserved.class);
      a.settle(ACCOUNT, 500, 500);
    }
    table.isDown = true;
    final int before = table.writes + table.reads;
    for (int i = 0; i < 160; i++) {
      var outcome = a.reserve(ACCOUNT, 20, TIMEOUT_MILLIS);
      if (outcome.getNow(new Outcome.Exhausted()) instanceof Outcome.Reserved) {
        a.settle(ACCOUNT, 20, 20);
      }
      scheduler.run(50);
    }
    int calls = table.writes + table.reads - before;
    assertThat(calls).isBetween(16, (int) (8_000 / AccountBudget.RETRY_DELAY_MILLIS) + 2);
  }

  /** Guards against a pause after a late write of the predecessor between the two reads. */
  @Test
  void takesOverAtOnceAfterLateWriteBetweenTheReads() {
    PrepaidBudgets first = daemon("a", "a.1", 1, 100_000);
    assertThat(reserve(first, 1_000)).isInstanceOf(Outcome.Reserved.class);
    table.failWrites(Fault.APPLIED_LATE);
    var waiting = first.reserve(ACCOUNT, 20_000, TIMEOUT_MILLIS);
    scheduler.run(2 + 2);
    assertThat(waiting).isCompletedWithValueMatching(o -> o instanceof Outcome.Unavailable);
    killed.add("a.1");
    final long drawnBefore = drawnByAll();
    PrepaidBudgets second = daemon("a", "a.2", 1, new VirtualStoreClock(scheduler));
    scheduler.run(2_995);
    second.updateAccounts(accountTerms(100_000));
    scheduler.run(2);
    assertThat(drawnByAll()).isEqualTo(drawnBefore);
    scheduler.run(1);
    assertThat(drawnByAll()).isGreaterThan(drawnBefore);
    scheduler.run(100);
    var outcome = second.reserve(ACCOUNT, 100, TIMEOUT_MILLIS);
    scheduler.run(100);
    assertThat(outcome).isCompletedWithValueMatching(o -> o instanceof Outcome.Reserved);
  }

  /** Guards against two processes of one host that spend the same tokens. */
  @Test
  void spendsNothingAfterAnotherProcessTookOver() {
    PrepaidBudgets old = daemon("a", "a.1", 1, 100_000);
    assertThat(reserve(old, 1_000)).isInstanceOf(Outcome.Reserved.class);
    PrepaidBudgets successor = daemon("a", "a.2", 1, 100_000);
    assertThat(reserve(successor, 1_000)).isInstanceOf(Outcome.Reserved.class);
    old.updateAccounts(accountTerms(90_000));
    scheduler.run(10_000);
    assertThat(reserve(old, 1)).isNotInstanceOf(Outcome.Reserved.class);
  }

  /** Guards against refusals during a store outage on the daemon with most of the demand. */
  @Test
  void holdsMoreTokensOnDaemonsWithMoreDemand() {
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
    // The same demand as before, over the longest store outage of the sites, 8 seconds.
    assertThat(served).isGreaterThanOrEqualTo(8);
  }

  /** Guards against status 402 while other daemons hold most of the budget. */
  @Test
  void distinguishesTokensHeldElsewhereFromAnExhaustedBudget() {
    // Another host has drawn the whole budget and has committed 40,000 of its 62,000 tokens.
    table.put("allotment/acme/total", new AllotmentRows.TotalRow(62_000, 40_000, 20_000));
    PrepaidBudgets b = daemon("b", 2, 62_000);
    assertThat(reserve(b, 4_000)).isInstanceOf(Outcome.HeldElsewhere.class);
    assertThat(reserve(b, 60_000)).isInstanceOf(Outcome.Exhausted.class);
  }

  /**
   * Guards against overspending under lost and late responses, killed processes, outages and
   * top-ups.
   */
  @Property(tries = 200, seed = "20261204")
  void neverSpendsMoreThanGranted(@ForAll long seed) {
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
    int[] incarnationNumbers = {-1, -1, -1};
    for (int step = 0; step < 120; step++) {
      int n = random.nextInt(3);
      if (random.nextInt(25) == 0) {
        // The old process is killed; its successor takes over the tokens that it can't have
        // consumed.
        t.killed.add("d" + n + "." + (incarnationNumbers[n] < 0 ? 1 : incarnationNumbers[n]));
        incarnationNumbers[n] = step + 2;
        daemons.set(n, t.daemon("d" + n, "d" + n + "." + incarnationNumbers[n], 3, granted));
      }
      t.table.isDown = random.nextInt(6) == 0;
      long tokens = 1L + random.nextInt(1_500);
      PrepaidBudgets d = daemons.get(n);
      int incarnationNumber = incarnationNumbers[n];
      var unused =
          d.reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
              .thenAccept(
                  o -> {
                    // A killed process sends no more requests to upstreams.
                    if (o instanceof Outcome.Reserved
                        && incarnationNumbers[n] == incarnationNumber) {
                      long consumed = random.nextInt((int) tokens + 1);
                      used[0] += consumed;
                      t.scheduler.schedule(
                          random.nextInt(300), () -> d.settle(ACCOUNT, tokens, consumed));
                    }
                  });
      t.scheduler.run(random.nextInt(400));
      if (random.nextInt(30) == 0) {
        granted += 2_000;
        List<AccountSettings> more = accountTerms(granted);
        daemons.forEach(b -> b.updateAccounts(more));
      }
      assertThat(used[0]).isLessThanOrEqualTo(granted);
    }
  }

  /**
   * Guards against a successor that counts less as consumed than its predecessor consumed, with
   * clocks that lag behind the store, late writes, outages, and restarts soon after each other.
   */
  @Property(tries = 200, seed = "20261205")
  void neverSpendsMoreThanGrantedOverManyRestarts(@ForAll long seed) {
    Random random = new Random(seed);
    PrepaidBudgetsTest t = new PrepaidBudgetsTest();
    t.table.randomFaults =
        () -> random.nextInt(5) == 0 ? FAULTS.get(random.nextInt(FAULTS.size())) : Fault.NONE;
    final long granted = 200_000L + random.nextInt(1_000_000);
    int runs = 0;
    long[] used = new long[2];
    for (int host = 0; runs < 12; host = (host + 1) % 2) {
      final int n = host;
      final long usedBefore = used[n];
      String incarnation = "h" + host + "." + runs++;
      PrepaidBudgets d = t.daemon("h" + host, incarnation, 2, t.laggingClock(random));
      t.scheduler.run(random.nextInt(2_000));
      d.updateAccounts(accountTerms(granted));
      long end = t.scheduler.nowMillis() + random.nextInt(15_000);
      long outageAt = t.scheduler.nowMillis() + random.nextInt(10_000);
      while (t.scheduler.nowMillis() < end) {
        t.table.isDown = t.scheduler.nowMillis() >= outageAt;
        long tokens = 1L + random.nextInt(3_000);
        var unused =
            d.reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
                .thenAccept(
                    o -> {
                      if (o instanceof Outcome.Reserved && !t.killed.contains(incarnation)) {
                        used[n] += tokens;
                        t.scheduler.schedule(
                            random.nextInt(500), () -> d.settle(ACCOUNT, tokens, tokens));
                      }
                    });
        t.scheduler.run(random.nextInt(300));
      }
      t.killed.add(incarnation);
      t.table.isDown = false;
      // Often less than the steady time of a ceiling, sometimes more.
      t.scheduler.run(random.nextInt(3) == 0 ? 0 : random.nextInt(6_000));
      assertThat(used[0] + used[1]).isLessThanOrEqualTo(granted);
      AllotmentRows.HolderRow row =
          t.table.get("allotment/acme/host.h" + host, AllotmentRows.HolderRow.class);
      if (row != null && row.incarnation().equals(incarnation)) {
        assertThat(row.spent()).isGreaterThanOrEqualTo(usedBefore);
      }
    }
  }

  /** Returns a clock of a process that starts now, with errors in the allowed directions. */
  private StoreClock laggingClock(Random random) {
    long lagMillis = random.nextInt(1_000);
    long knownAtMillis = scheduler.nowMillis() + random.nextInt(1_000);
    long firstCallAtMost = scheduler.nowMillis() + random.nextInt(1_500);
    return new StoreClock() {
      @Override
      public long millis() {
        return Math.max(0, scheduler.nowMillis() - lagMillis);
      }

      @Override
      public long firstCallMillis() {
        return scheduler.nowMillis() < knownAtMillis ? Long.MAX_VALUE : firstCallAtMost;
      }
    };
  }
}
