import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The settings files of machines change while their processes start: each process gets SIGHUP soon
 * after its start. A process that ends is started again after a short delay, as the platform does.
 * Counted are processes that ended by themselves, without a signal that ends a process.
 */
public final class HangUpCase {

  private static final int MACHINES = 2;

  /** Number of ends on each machine that break the rule. */
  private static final int ENDS = 3;

  private static final int CHANGES = 4;

  /** Time from the start of a process to the change of its settings. */
  private static final long SIGNAL_MILLIS = 250;

  /** Delay before an ended process is started again. */
  private static final long RESTART_MILLIS = 1_750;

  private HangUpCase() {}

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0], "record.txt"));
    int code = 2;
    List<Kit.Daemon> daemons = new ArrayList<>();
    try (Kit.Store store = new Kit.Store()) {
      Path folder = Kit.newFolder();
      store.put("op", "config", Kit.configuration(7).toString());
      Kit.Engine engine =
          new Kit.Engine("i-1", "app", (e, m, s) -> Kit.respond(s, m, 200, "", "ok".getBytes()));
      engine.register(store, "ready", "1");
      for (int i = 0; i < MACHINES; i++) {
        daemons.add(new Kit.Daemon("front-" + i, folder, store.address(), Kit.newAddress()));
      }
      int[] ends = new int[MACHINES];
      for (Kit.Daemon d : daemons) {
        d.start();
      }
      for (int change = 0; change < CHANGES; change++) {
        Kit.sleep(SIGNAL_MILLIS);
        for (Kit.Daemon d : daemons) {
          if (Kit.hasTrouble() && d.process.isAlive()) {
            d.signal("HUP");
            Kit.log("the settings of %s change, SIGHUP", d.name);
          }
        }
        Kit.sleep(RESTART_MILLIS);
        for (int i = 0; i < MACHINES; i++) {
          Kit.Daemon d = daemons.get(i);
          if (!d.process.isAlive()) {
            ends[i]++;
            Kit.log("the process of %s has ended by itself, exit status %d; it is started again", d.name, d.process.exitValue());
            d.start();
          }
        }
      }
      for (Kit.Daemon d : daemons) {
        d.awaitReady();
        Kit.log("%s is ready", d.name);
      }
      int broken = 0;
      for (int i = 0; i < MACHINES; i++) {
        Kit.log("%s: %d processes ended by themselves", daemons.get(i).name, ends[i]);
        broken += ends[i] >= ENDS ? 1 : 0;
      }
      code = broken == MACHINES ? 1 : 0;
    } catch (Exception e) {
      Kit.log("could not run: %s", e);
    } finally {
      daemons.forEach(Kit.Daemon::close);
    }
    Kit.log("exit %d", code);
    System.exit(code);
  }
}
