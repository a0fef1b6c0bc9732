package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.PrepaidBudgets.Outcome;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.testing.VirtualStoreClock;
import org.hibiscusreel.core.forward.AccountSettings;

/** Simulates one client account on six hosts that all lose their processes at the same moment. */
class BudgetRecoveryTest {

  private static final String ACCOUNT = "acme";
  private static final int HOSTS = 6;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long STEP_MILLIS = 20;

  /** Sizes of requests in tokens. */
  private static final int[] SIZES = {17_000, 9_300, 1_600};

  /** Requests of each size that arrive in a second at all hosts together, on average. */
  private static final double[] PER_SECOND = {1.6, 1.2, 2.0};

  private static final long LOSS_MILLIS = 41_000;
  private static final long DAY_MILLIS = 60_000;

  /** Part of the prepaid tokens that the users expect to be usable. */
  private static final double USABLE_FRACTION = 0.97;

  /** Longest time in milliseconds after the return of the hosts until service has recovered. */
  private static final long RECOVERY_BOUND_MILLIS = 12_000;

  /** Request that arrives at a host. */
  private record Arrival(long atMillis, int host, int tokens) {}

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final Set<String> killed = new HashSet<>();
  private int offered;
  private int served;
  private long consumed;

  private PrepaidBudgets start(int host, int run) {
    String incarnation = host + "." + run;
    PrepaidBudgets b =
        new PrepaidBudgets(
            new KillableTable(table, () -> !killed.contains(incarnation)),
            scheduler,
            new VirtualStoreClock(scheduler),
            new PrepaidBudgets.Identity("h" + host, incarnation),
            600,
            () -> HOSTS,
            new HolderCopies(scheduler, new NoOpHolderTransport(), ""),
            (e, f) -> {});
    b.start();
    return b;
  }

  private static List<AccountSettings> accounts(long prepaid) {
    return List.of(new AccountSettings(ACCOUNT, OptionalInt.empty(), OptionalLong.of(prepaid)));
  }

  private void request(PrepaidBudgets daemon, String incarnation, long tokens) {
    offered++;
    var unused =
        daemon
            .reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
            .thenAccept(
                o -> {
                  if (o instanceof Outcome.Reserved && !killed.contains(incarnation)) {
                    served++;
                    consumed += tokens;
                    scheduler.schedule(700, () -> daemon.settle(ACCOUNT, tokens, tokens));
                  }
                });
  }

  /**
   * Guards against refusals after all processes were killed, because their successors count more as
   * consumed than the killed processes can have consumed.
   */
  @Property(tries = 60, seed = "20261205")
  void servesAfterTheLossOfAllHostsWhatTheBudgetCovers(@ForAll long seed) {
    BudgetRecoveryTest t = new BudgetRecoveryTest();
    t.playDay(new Random(seed));
  }

  private void playDay(Random random) {
    Deque<Arrival> arrivals = arrivals(random);
    final long tokens = arrivals.stream().mapToLong(Arrival::tokens).sum();
    final long prepaid = (long) (tokens / USABLE_FRACTION);
    List<PrepaidBudgets> daemons = new ArrayList<>();
    for (int h = 0; h < HOSTS; h++) {
      daemons.add(start(h, 1));
      daemons.get(h).updateAccounts(accounts(prepaid));
    }
    serve(arrivals, daemons, 1, LOSS_MILLIS);
    assertThat(served).isGreaterThanOrEqualTo(offered / 4);
    for (int h = 0; h < HOSTS; h++) {
      killed.add(h + ".1");
    }
    // The platform starts the processes again after 1.9 seconds, and a process needs 0.5 to 1.3
    // seconds until it has bound its address.
    scheduler.run(2_400 + random.nextInt(800));
    final long returnedAt = scheduler.nowMillis();
    for (int h = 0; h < HOSTS; h++) {
      daemons.set(h, start(h, 2));
    }
    // The daemon knows the configuration up to a second later.
    scheduler.run(400 + random.nextInt(600));
    daemons.forEach(d -> d.updateAccounts(accounts(prepaid)));
    arrivals.removeIf(a -> a.atMillis() < scheduler.nowMillis());
    serve(arrivals, daemons, 2, returnedAt + RECOVERY_BOUND_MILLIS);
    offered = 0;
    served = 0;
    serve(arrivals, daemons, 2, DAY_MILLIS);
    assertThat(served).as("of %d requests", offered).isGreaterThanOrEqualTo(offered / 4);
    assertThat(consumed).isLessThanOrEqualTo(prepaid);
  }

  private static Deque<Arrival> arrivals(Random random) {
    Deque<Arrival> arrivals = new ArrayDeque<>();
    for (long at = 0; at < DAY_MILLIS; at += STEP_MILLIS) {
      for (int k = 0; k < SIZES.length; k++) {
        if (random.nextDouble() < PER_SECOND[k] * STEP_MILLIS / 1_000) {
          arrivals.addLast(new Arrival(at, random.nextInt(HOSTS), SIZES[k]));
        }
      }
    }
    return arrivals;
  }

  private void serve(
      Deque<Arrival> arrivals, List<PrepaidBudgets> daemons, int run, long untilMillis) {
    while (!arrivals.isEmpty() && arrivals.peekFirst().atMillis() < untilMillis) {
      Arrival a = arrivals.removeFirst();
      scheduler.run(a.atMillis() - scheduler.nowMillis());
      request(daemons.get(a.host()), a.host() + "." + run, a.tokens());
    }
    scheduler.run(untilMillis - scheduler.nowMillis());
  }
}
