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

/** Starts and ends the faults of a trace. */
final class FaultInjector {

  private final Simulation simulation;
  private final Set<Runnable> undoActions = new LinkedHashSet<>();
  private int topUpCount;

  FaultInjector(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Starts a fault and schedules its endAction. */
  void apply(Fault fault) {
    switch (fault.kind()) {
      case CUT -> {
        simulation.links().cut(fault.target(), fault.other());
        scheduleEnd(fault, () -> simulation.links().restore(fault.target(), fault.other()));
      }
      case PLATFORM_DOWN -> {
        setPlatformDown(true);
        scheduleEnd(fault, () -> setPlatformDown(false));
      }
      case PLATFORM_SLOW -> {
        simulation.table().setAddedDelayMillis((long) fault.amount());
        scheduleEnd(fault, () -> simulation.table().setAddedDelayMillis(0));
      }
      case LOST_RESPONSES -> {
        simulation.table().setLostResponseProbability(fault.amount());
        scheduleEnd(fault, () -> simulation.table().setLostResponseProbability(0));
      }
      case LATE_EFFECTS -> {
        simulation.table().setLateWriteProbability(fault.amount());
        scheduleEnd(fault, () -> simulation.table().setLateWriteProbability(0));
      }
      case KILL -> kill(fault.target(), fault);
      case KILL_DOMAIN ->
          simulation.trace().topology().hosts(fault.target()).forEach(h -> kill(h, fault));
      case PAUSE -> pause(fault);
      case STOP -> stop(fault);
      case ENGINE_CRASH -> simulation.engines().crash(fault.target());
      case BROKEN_STREAMS -> {
        simulation.engines().setBreakProbability(fault.amount());
        scheduleEnd(fault, () -> simulation.engines().setBreakProbability(0));
      }
      case REPEATED_PIECES -> {
        simulation.engines().setRepeatProbability(fault.amount());
        scheduleEnd(fault, () -> simulation.engines().setRepeatProbability(0));
      }
      case LOST_RECEIPTS -> {
        simulation.services().setLostResponseProbability(fault.amount());
        scheduleEnd(fault, () -> simulation.services().setLostResponseProbability(0));
      }
      case TOP_UP -> topUp(fault);
      case PUBLISH -> simulation.publish();
      case ENGINE_LEAVING -> simulation.engines().setLeaving(fault.target(), true);
      default -> throw new IllegalArgumentException("unknown fault " + fault.kind());
    }
  }

  /** Ends all active faults. Killed and stopped daemons and leaving engines stay as they are. */
  void endAll() {
    Set.copyOf(undoActions).forEach(Runnable::run);
    undoActions.clear();
    simulation.links().restoreAll();
  }

  private void scheduleEnd(Fault fault, Runnable endAction) {
    undoActions.add(endAction);
    simulation
        .time()
        .schedule(
            fault.forMillis(),
            () -> {
              if (undoActions.remove(endAction)) {
                endAction.run();
              }
            });
  }

  private void setPlatformDown(boolean down) {
    simulation.table().setDown(down);
    simulation.platform().setDown(down);
  }

  private void kill(String host, Fault fault) {
    SimulatedDaemon daemon = simulation.daemons().get(host);
    daemon.process().kill();
    restartLater(host, fault);
  }

  private void restartLater(String host, Fault fault) {
    simulation
        .time()
        .schedule(
            fault.forMillis(),
            () -> {
              if (!simulation.daemons().get(host).process().isAlive()) {
                simulation.startDaemon(host);
              }
            });
  }

  private void pause(Fault fault) {
    SimulatedDaemon daemon = simulation.daemons().get(fault.target());
    daemon.process().pause();
    scheduleEnd(fault, daemon.process()::resume);
  }

  private void stop(Fault fault) {
    SimulatedDaemon daemon = simulation.daemons().get(fault.target());
    if (daemon.stopping()[0] || !daemon.process().isAlive()) {
      return;
    }
    daemon.stopping()[0] = true;
    daemon
        .process()
        .deliver(
            () -> {
              var unused =
                  daemon
                      .node()
                      .stop()
                      .thenRun(
                          () -> {
                            daemon.process().kill();
                            restartLater(fault.target(), fault);
                          });
            });
  }

  private void topUp(Fault fault) {
    String key = TableKeys.budget(fault.target());
    for (Row r : simulation.table().rows(key)) {
      if (r.key().equals(key)) {
        BudgetRow b = Json.read(r.value(), BudgetRow.class);
        TopUp t =
            new TopUp(
                "top-up-" + topUpCount++, (long) fault.amount(), simulation.time().wallMillis());
        List<TopUp> all = new ArrayList<>(b.topUps());
        all.add(t);
        BudgetRow next =
            new BudgetRow(b.account(), b.granted() + t.tokens(), b.drawn(), b.lean(), all);
        simulation.table().put(key, Json.write(next));
      }
    }
  }
}
