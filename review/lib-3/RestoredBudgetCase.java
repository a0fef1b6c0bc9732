import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A tenant spends most of its prepaid tokens at one machine. Then processes are killed while the
 * store is away, and the store comes back from a copy of some seconds before. The tenant goes on to
 * ask all machines, and must not get more than it has paid for.
 *
 * <p>Arguments: the folder of the record, the number of machines that were lost for good before
 * ({@code 8}), and which processes are killed ({@code one} or {@code all}).
 */
public final class RestoredBudgetCase {

  private static final long PREPAID = 300_000;
  private static final int LIVE = 3;
  private static final int STARTED_AT_ONCE = 8;

  /** Longest time from the copy to the return of the store in milliseconds, as the pages play it. */
  private static final long COPY_AGE_MILLIS = 9_000;

  /** Time for which the store is away in milliseconds, as the pages play it. */
  private static final long AWAY_MILLIS = 2_000;

  private final Path folder;
  private final List<Kit.Daemon> all = new ArrayList<>();
  private final List<Kit.Engine> engines = new ArrayList<>();
  private final String config =
      Kit.configuration(7).toString().replace("100000000", Long.toString(PREPAID));
  private final Kit.Store store;
  private int lost;

  private RestoredBudgetCase(Kit.Store store) throws Exception {
    this.store = store;
    this.folder = Kit.newFolder();
  }

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0], "record.txt"));
    int code = 2;
    try (Kit.Store store = new Kit.Store()) {
      RestoredBudgetCase c = new RestoredBudgetCase(store);
      try {
        code = c.play(Integer.parseInt(args[1]), args[2].equals("all"));
      } finally {
        c.all.forEach(Kit.Daemon::close);
      }
    } catch (Exception e) {
      Kit.log("could not run: %s", e);
    }
    Kit.log("exit %d", code);
    System.exit(code);
  }

  private int play(int lostMachines, boolean isEachKilled) throws Exception {
    lost = lostMachines;
    store.put("op", "config", config);
    for (int i = 1; i <= 3; i++) {
      engines.add(new Kit.Engine("i-" + i, "pool", Budgets::stream));
    }
    engines.add(new Kit.Engine("i-4", "app", (e, m, s) -> Kit.respond(s, m, 200, "", new byte[0])));
    writeEngines();
    for (int i = 0; i < lost; i += STARTED_AT_ONCE) {
      List<Kit.Daemon> batch = start("lost-", 2, i, Math.min(lost, i + STARTED_AT_ONCE));
      for (Kit.Daemon d : batch) {
        d.process.destroyForcibly().waitFor();
      }
    }
    Kit.log("%d machines were lost for good before", lost);
    List<Kit.Daemon> live = start("front-", 1, 0, LIVE);
    // The others are counted every 5 s.
    Kit.sleep(6_000);
    Kit.log("rows of hosts: %s", store.values("hosts").keySet());

    Kit.Store.Copy copy = store.copy();
    final long copiedAt = System.nanoTime();
    Kit.log("this is the state of the store from which it will be restored");
    Budgets.sendMany(live.subList(0, 1), 130, 6, "requests to front-0");
    sleepUntil(copiedAt, COPY_AGE_MILLIS - AWAY_MILLIS);
    if (Kit.hasTrouble()) {
      List<Kit.Daemon> killed = isEachKilled ? live : live.subList(0, 1);
      store.isAway = true;
      for (Kit.Daemon d : killed) {
        d.process.destroyForcibly().waitFor();
        Kit.log("SIGKILL to %s, the store is away", d.name);
      }
      sleepUntil(copiedAt, COPY_AGE_MILLIS);
      store.restore(copy);
      store.put("op", "config", config);
      writeEngines();
      store.isAway = false;
      Kit.log("the store is back, from a copy of %.1f s ago", (System.nanoTime() - copiedAt) / 1e9);
      for (Kit.Daemon d : killed) {
        d.start();
      }
      for (Kit.Daemon d : killed) {
        d.awaitReady();
      }
    }
    Kit.sleep(10_000);
    for (int i = 0; i < 4; i++) {
      Budgets.sendMany(live, 60, 6, "requests to all");
      Kit.sleep(1_500);
    }
    store.values("allotment").forEach((key, value) -> Kit.log("row %s %s", key, value));
    Kit.log("the tenant got %d tokens, it had paid for %d", Budgets.got.get(), PREPAID);
    return Budgets.got.get() > PREPAID ? 1 : 0;
  }

  private void writeEngines() {
    engines.forEach(e -> e.register(store, "ready", "1"));
  }

  /**
   * Starts machines and waits until they are ready. Their addresses are the same in each run, since
   * the daemons choose by them who keeps whose rows.
   */
  private List<Kit.Daemon> start(String name, int net, int from, int to) throws Exception {
    List<Kit.Daemon> started = new ArrayList<>();
    for (int i = from; i < to; i++) {
      Kit.Daemon d =
          new Kit.Daemon(name + i, folder, store.address(), (lost > 0 ? "127.82." : "127.84.") + net + "." + (i + 1));
      all.add(d);
      started.add(d);
      d.start();
    }
    for (Kit.Daemon d : started) {
      d.awaitReady();
    }
    return started;
  }

  private static void sleepUntil(long sinceNanos, long millis) {
    Kit.sleep(Math.max(0, millis - (System.nanoTime() - sinceNanos) / 1_000_000));
  }
}
