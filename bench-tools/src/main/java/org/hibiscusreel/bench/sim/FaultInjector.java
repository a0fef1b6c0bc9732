package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;

/** Applies the faults of a trace and ends them. */
final class FaultInjector {

  private final Simulation simulation;
  private final Set<Runnable> undo = new LinkedHashSet<>();
  private int topUps;

  FaultInjector(Simulation simulation) {
    this.simulation = simulation;
  }

  void apply(Fault f) {
    switch (f.kind()) {
      case CUT -> {
        simulation.links().cut(f.target(), f.other());
        later(f, () -> simulation.links().heal(f.target(), f.other()));
      }
      case PLATFORM_DOWN -> {
        setPlatformDown(true);
        later(f, () -> setPlatformDown(false));
      }
      case PLATFORM_SLOW -> {
        simulation.table().setSlowMillis((long) f.amount());
        later(f, () -> simulation.table().setSlowMillis(0));
      }
      case LOST_RESPONSES -> {
        simulation.table().setLostResponses(f.amount());
        later(f, () -> simulation.table().setLostResponses(0));
      }
      case LATE_EFFECTS -> {
        simulation.table().setLateEffects(f.amount());
        later(f, () -> simulation.table().setLateEffects(0));
      }
      case KILL -> kill(f.target(), f);
      case KILL_DOMAIN -> simulation.trace().topology().hosts(f.target()).forEach(h -> kill(h, f));
      case PAUSE -> pause(f);
      case STOP -> stop(f);
      case ENGINE_CRASH -> simulation.engines().crash(f.target());
      case BROKEN_STREAMS -> {
        simulation.engines().setBroken(f.amount());
        later(f, () -> simulation.engines().setBroken(0));
      }
      case REPEATED_PIECES -> {
        simulation.engines().setRepeated(f.amount());
        later(f, () -> simulation.engines().setRepeated(0));
      }
      case LOST_RECEIPTS -> {
        simulation.services().setLostResponses(f.amount());
        later(f, () -> simulation.services().setLostResponses(0));
      }
      case TOP_UP -> topUp(f);
      case PUBLISH -> simulation.publish();
      case ENGINE_LEAVING -> simulation.engines().setLeaving(f.target(), true);
      default -> throw new IllegalArgumentException("unknown fault " + f.kind());
    }
  }

  /** Ends all faults that still last. */
  void endAll() {
    Set.copyOf(undo).forEach(Runnable::run);
    undo.clear();
    simulation.links().healAll();
  }

  private void later(Fault f, Runnable end) {
    undo.add(end);
    simulation
        .time()
        .schedule(
            f.forMillis(),
            () -> {
              if (undo.remove(end)) {
                end.run();
              }
            });
  }

  private void setPlatformDown(boolean down) {
    simulation.table().setDown(down);
    simulation.platform().setDown(down);
  }

  private void kill(String host, Fault f) {
    SimulatedDaemon d = simulation.daemons().get(host);
    d.scope().kill();
    restartLater(host, f);
  }

  private void restartLater(String host, Fault f) {
    simulation
        .time()
        .schedule(
            f.forMillis(),
            () -> {
              if (!simulation.daemons().get(host).scope().isAlive()) {
                simulation.startDaemon(host);
              }
            });
  }

  private void pause(Fault f) {
    SimulatedDaemon d = simulation.daemons().get(f.target());
    d.scope().pause();
    later(f, d.scope()::resume);
  }

  private void stop(Fault f) {
    SimulatedDaemon d = simulation.daemons().get(f.target());
    if (d.stopping()[0] || !d.scope().isAlive()) {
      return;
    }
    d.stopping()[0] = true;
    d.scope()
        .deliver(
            () -> {
              var unused =
                  d.node()
                      .stop()
                      .thenRun(
                          () -> {
                            d.scope().kill();
                            restartLater(f.target(), f);
                          });
            });
  }

  private void topUp(Fault f) {
    String key = TableKeys.budget(f.target());
    for (Row r : simulation.table().rows(key)) {
      if (r.key().equals(key)) {
        BudgetRow b = Json.read(r.value(), BudgetRow.class);
        TopUp t = new TopUp("top-up-" + topUps++, (long) f.amount(), simulation.time().wall());
        List<TopUp> all = new ArrayList<>(b.topUps());
        all.add(t);
        BudgetRow next =
            new BudgetRow(b.account(), b.granted() + t.tokens(), b.drawn(), b.lean(), all);
        simulation.table().put(key, Json.write(next));
      }
    }
  }
}
