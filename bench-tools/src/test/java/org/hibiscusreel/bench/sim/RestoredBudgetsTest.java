package org.hibiscusreel.bench.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.HolderCopies;
import org.hibiscusreel.coordination.forward.HolderCopy;
import org.hibiscusreel.coordination.forward.HolderTransport;
import org.hibiscusreel.coordination.forward.PrepaidBudgets;
import org.hibiscusreel.core.forward.AccountSettings;
import org.junit.jupiter.api.Test;

/**
 * Simulates one client account on several hosts while the store is restored from older copies,
 * hosts are killed and writes are performed late.
 */
class RestoredBudgetsTest {

  private static final String ACCOUNT = "acme";
  private static final int HOSTS = 5;
  private static final long STEP_MILLIS = 50;
  private static final long START_MILLIS = 8_000;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int[] LAST_SIZES = {2_000, 500, 50, 10};
  private static final int LOSSES_OF_ALL_HOSTS = 50;
  private static final double LOST_MESSAGES = 0.05;

  /**
   * Guards against tokens that are handed out twice because a restored store has forgotten that a
   * host has drawn or consumed them.
   */
  @Property(tries = 150, seed = "20261206")
  void neverSpendsMoreThanPrepaidWithRestoredStore(@ForAll long seed) {
    new Day(new Random(seed), false).play();
  }

  /** Guards against tokens that are forgotten with all hosts that knew who had drawn them. */
  @Test
  void neverSpendsMoreThanPrepaidAfterTheLossOfAllHosts() {
    for (long seed = 0; seed < LOSSES_OF_ALL_HOSTS; seed++) {
      new Day(new Random(seed * 7_919), true).play();
    }
  }

  /** One simulated day. */
  private static final class Day {

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final boolean losesAllHosts;
    private final RestorableStore store;
    private final Map<String, Consumer<HolderCopy>> receivers = new HashMap<>();
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final List<PrepaidBudgets> daemons = new ArrayList<>();
    private final long prepaid;
    private long consumed;
    private int served;

    private Day(Random random, boolean losesAllHosts) {
      this.losesAllHosts = losesAllHosts;
      this.random = random;
      this.store = new RestorableStore(time, random);
      this.prepaid = 150_000L + random.nextInt(400_000);
    }

    /** Delivers copies of rows between the processes; some are lost. */
    private final class Datagrams implements HolderTransport {

      private final String address;
      private final SimulatedProcess process;

      private Datagrams(String address, SimulatedProcess process) {
        this.address = address;
        this.process = process;
      }

      @Override
      public void sendHolders(List<String> peers, List<HolderCopy> copies) {
        for (String p : peers) {
          if (random.nextDouble() >= LOST_MESSAGES) {
            time.schedule(1, () -> copies.forEach(receivers.getOrDefault(p, c -> {})));
          }
        }
      }

      @Override
      public void receiveHolders(Consumer<HolderCopy> receiver) {
        receivers.put(address, c -> process.deliver(() -> receiver.accept(c)));
      }
    }

    private void start(int host, int run) {
      SimulatedProcess p = new SimulatedProcess(time);
      String address = "a" + host;
      RestorableStore.Client client = store.client(p, true);
      HolderCopies copies = new HolderCopies(p, new Datagrams(address, p), address);
      PrepaidBudgets b =
          new PrepaidBudgets(
              client,
              p,
              client,
              new PrepaidBudgets.Identity("h" + host, host + "." + run),
              600,
              () -> HOSTS,
              copies,
              (e, f) -> {});
      b.start();
      List<String> others = new ArrayList<>();
      for (int h = 0; h < HOSTS; h++) {
        if (h != host) {
          others.add("a" + h);
        }
      }
      copies.onPeers(others);
      // A daemon knows the era from its first reads, before it knows the configuration.
      var unused =
          client
              .read(List.of("hosts//x"))
              .thenAccept(
                  r ->
                      b.updateAccounts(
                          List.of(
                              new AccountSettings(
                                  ACCOUNT, OptionalInt.empty(), OptionalLong.of(prepaid)))));
      if (host < processes.size()) {
        processes.set(host, p);
        daemons.set(host, b);
      } else {
        processes.add(p);
        daemons.add(b);
      }
    }

    private void request(int host, long tokens) {
      SimulatedProcess p = processes.get(host);
      PrepaidBudgets daemon = daemons.get(host);
      if (!p.isAlive()) {
        return;
      }
      var unused =
          daemon
              .reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
              .thenAccept(
                  o -> {
                    if (o instanceof PrepaidBudgets.Outcome.Reserved && p.isAlive()) {
                      served++;
                      consumed += tokens;
                      p.schedule(300, () -> daemon.settle(ACCOUNT, tokens, tokens));
                    }
                  });
    }

    private void run(long millis) {
      time.runUntil(time.nowMillis() + millis);
    }

    private void restore() {
      store.setDown(true);
      long downMillis = 200L + random.nextInt(2_500);
      final long ageMillis = downMillis + 1_000L + random.nextInt(11_000);
      time.schedule(
          downMillis,
          () -> {
            store.restore(Math.min(ageMillis, time.nowMillis()));
            store.setDown(false);
          });
    }

    private void kill(int host, int run) {
      processes.get(host).kill();
      time.schedule(1_900L + random.nextInt(2_000), () -> start(host, run));
    }

    private void play() {
      for (int h = 0; h < HOSTS; h++) {
        start(h, 1);
      }
      run(START_MILLIS);
      store.setLateWriteProbability(random.nextInt(3) * 0.1);
      store.setSlowResponseProbability(random.nextInt(3) * 0.02);
      final long firstRestore = START_MILLIS + 3_000L + random.nextInt(8_000);
      final long secondRestore = firstRestore + 3_000L + random.nextInt(9_000);
      final boolean restoresTwice = random.nextBoolean() && !losesAllHosts;
      final long killAt =
          losesAllHosts
              ? firstRestore - 3_000L + random.nextInt(3_000)
              : firstRestore - 6_000L + random.nextInt(14_000);
      final int killed = random.nextInt(HOSTS);
      final int busy = random.nextInt(HOSTS);
      final int size = 200 + random.nextInt(1_500);
      final long end = secondRestore + 8_000L;
      for (long at = START_MILLIS; at < end; at += STEP_MILLIS) {
        if (at >= firstRestore && at < firstRestore + STEP_MILLIS) {
          restore();
        }
        if (restoresTwice && at >= secondRestore && at < secondRestore + STEP_MILLIS) {
          restore();
        }
        if (at >= killAt && at < killAt + STEP_MILLIS) {
          for (int h = 0; h < HOSTS; h++) {
            if (losesAllHosts || h == killed) {
              kill(h, 2);
            }
          }
        }
        if (at % 200 == 0) {
          request(random.nextInt(HOSTS), 1 + random.nextInt(2 * size));
          request(busy, size);
        }
        run(STEP_MILLIS);
      }
      store.setLateWriteProbability(0);
      store.setSlowResponseProbability(0);
      final int servedBefore = served;
      spendRest();
      assertThat(served + servedBefore).isPositive();
      assertThat(consumed).isLessThanOrEqualTo(prepaid);
    }

    private void spendRest() {
      for (int s : LAST_SIZES) {
        int servedBefore;
        do {
          servedBefore = served;
          for (int i = 0; i < 60; i++) {
            for (int h = 0; h < HOSTS; h++) {
              request(h, s);
            }
            run(STEP_MILLIS);
          }
        } while (served > servedBefore);
      }
    }
  }
}
