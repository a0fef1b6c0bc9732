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
import org.hibiscusreel.coordination.testing.VirtualStoreClock;
import org.hibiscusreel.core.forward.AccountSettings;

/**
 * Simulates one client account on three hosts. The responses of the store to one of them are lost,
 * and what it wrote takes effect seconds later, when its process has been killed.
 */
class LateWritesTest {

  private static final String ACCOUNT = "acme";
  private static final int HOSTS = 3;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final long STEP_MILLIS = 50;
  private static final int[] LAST_SIZES = {2_000, 500, 50, 10};

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final Set<String> killed = new HashSet<>();
  private final List<Runnable> held = new ArrayList<>();
  private boolean losesResponses;
  private int served;
  private long consumed;

  /** Loses the responses of writes while it is told to, and performs the writes later. */
  private final class LossyTable implements TableService {

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      if (losesResponses) {
        table.failWrites(Fault.APPLIED_LATE_IF_UNCHANGED);
      }
      return table.transact(mutations);
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return table.read(keys);
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return table.scan(prefix, after, limit);
    }
  }

  private PrepaidBudgets start(int host, int run, long prepaid) {
    String incarnation = host + "." + run;
    TableService own = host == 0 ? new LossyTable() : table;
    PrepaidBudgets b =
        new PrepaidBudgets(
            new KillableTable(own, () -> !killed.contains(incarnation)),
            scheduler,
            new VirtualStoreClock(scheduler),
            new PrepaidBudgets.Identity("h" + host, incarnation),
            600,
            () -> HOSTS,
            new HolderCopies(scheduler, new NoOpHolderTransport(), ""),
            (e, f) -> {});
    b.start();
    b.updateAccounts(
        List.of(new AccountSettings(ACCOUNT, OptionalInt.empty(), OptionalLong.of(prepaid))));
    return b;
  }

  /** Sends a request that consumes all that it reserves. */
  private void request(PrepaidBudgets daemon, String incarnation, long tokens) {
    var unused =
        daemon
            .reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
            .thenAccept(
                o -> {
                  if (o instanceof Outcome.Reserved && !killed.contains(incarnation)) {
                    served++;
                    consumed += tokens;
                    scheduler.schedule(20, () -> daemon.settle(ACCOUNT, tokens, tokens));
                  }
                });
  }

  /** Sends a request that holds its reservation and then consumes little of it. */
  private void hold(PrepaidBudgets daemon, long tokens) {
    var unused =
        daemon
            .reserve(ACCOUNT, tokens, TIMEOUT_MILLIS)
            .thenAccept(
                o -> {
                  if (o instanceof Outcome.Reserved) {
                    consumed += 20;
                    held.add(() -> daemon.settle(ACCOUNT, tokens, 20));
                  }
                });
  }

  /**
   * Guards against a daemon that takes a write as settled because another daemon has changed the
   * row of the account, and then spends more than the late write lets its successor count.
   */
  @Property(tries = 150, seed = "20261205")
  void neverSpendsMoreThanPrepaidWithLateWrites(@ForAll long seed) {
    LateWritesTest t = new LateWritesTest();
    t.playDay(new Random(seed));
  }

  private void playDay(Random random) {
    final long prepaid = 200_000L + random.nextInt(300_000);
    List<PrepaidBudgets> daemons = new ArrayList<>();
    for (int h = 0; h < HOSTS; h++) {
      daemons.add(start(h, 1, prepaid));
    }
    final long burstAt = 3_000L + random.nextInt(3_000);
    final long killAt = burstAt + 1_000L + random.nextInt(3_000);
    final int heldTokens = 500 + random.nextInt(3_000);
    final int burstTokens = 200 + random.nextInt(3_000);
    for (long at = 0; at < killAt; at += STEP_MILLIS) {
      if (at % 500 == 0) {
        request(daemons.get(1), "1.1", 150);
        request(daemons.get(2), "2.1", 150);
      }
      if (at < burstAt && at % 200 == 0) {
        hold(daemons.get(0), heldTokens);
      } else if (at >= burstAt) {
        losesResponses = true;
        held.forEach(Runnable::run);
        held.clear();
        request(daemons.get(0), "0.1", burstTokens);
      }
      scheduler.run(STEP_MILLIS);
    }
    losesResponses = false;
    killed.add("0.1");
    scheduler.run(500 + random.nextInt(3_000));
    daemons.set(0, start(0, 2, prepaid));
    scheduler.run(random.nextInt(3_000));
    spendRest(daemons);
    assertThat(consumed).isLessThanOrEqualTo(prepaid);
  }

  private void spendRest(List<PrepaidBudgets> daemons) {
    for (int size : LAST_SIZES) {
      int servedBefore;
      do {
        servedBefore = served;
        for (int i = 0; i < 40; i++) {
          request(daemons.get(0), "0.2", size);
          request(daemons.get(1), "1.1", size);
          request(daemons.get(2), "2.1", size);
          scheduler.run(STEP_MILLIS);
        }
      } while (served > servedBefore);
    }
  }
}
