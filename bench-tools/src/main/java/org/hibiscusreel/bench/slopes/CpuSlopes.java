package org.hibiscusreel.bench.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import org.hibiscusreel.coordination.ledger.BillingService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.timeline.HybridClock;

/** Processor time of one thread per item handled, without sockets. */
final class CpuSlopes {

  private static final int[] MEMBERS = {50, 100, 205, 410};
  private static final int[] ITEMS = {5_000, 10_000, 20_000, 40_000};
  private static final int[] ENTRIES = {250, 500, 1_000, 2_000};
  private static final int PROBES = 5_000;
  private static final int PUBLICATIONS = 5;
  private static final int ROUNDS = 3;
  private static final double NANOS_PER_MICRO = 1e3;

  void measure(Consumer<Slope> out) {
    out.accept(slope("CPU of a probe handled", "member", MEMBERS, CpuSlopes::probe));
    out.accept(
        slope("CPU of reserve and settle handled", "reservation", ITEMS, CpuSlopes::reservations));
    out.accept(slope("CPU of a bill", "bill", ITEMS, CpuSlopes::bills));
    out.accept(slope("CPU of a configuration applied", "upstream", ENTRIES, n -> publish(n, 1, 1)));
    out.accept(slope("CPU of a configuration applied", "account", ENTRIES, n -> publish(1, n, n)));
    out.accept(
        slope("CPU of a configuration applied", "listed budget", ITEMS, n -> publish(1, 970, n)));
  }

  /** Takes the median of several rounds, since other processes disturb the caches. */
  private static Slope slope(String quantity, String per, int[] sizes, IntToDoubleFunction cpu) {
    var unused = cpu.applyAsDouble(sizes[sizes.length - 1]);
    List<Fit.Point> points = new ArrayList<>();
    for (int size : sizes) {
      double[] rounds = new double[ROUNDS];
      Arrays.setAll(rounds, i -> cpu.applyAsDouble(size));
      Arrays.sort(rounds);
      points.add(new Fit.Point(size, rounds[ROUNDS / 2] / NANOS_PER_MICRO));
    }
    return new Slope(quantity, "us", per, points);
  }

  private static double probe(int members) {
    NodeRig rig = new NodeRig();
    for (int i = 1; i <= members; i++) {
      rig.handleProbe(NodeRig.probe(i, 0));
    }
    // Members are young for a minute and get longer responses.
    for (int s = 0; s < 120; s++) {
      rig.advance(1_000);
      for (int i = 1; i <= members; i += 7) {
        rig.handleProbe(NodeRig.probe(i, 0));
      }
    }
    byte[] probe = NodeRig.probe(1, 3);
    long start = Clocks.cpuNanos();
    for (int i = 0; i < PROBES; i++) {
      rig.handleProbe(probe);
    }
    return (double) (Clocks.cpuNanos() - start) / PROBES;
  }

  private static double reservations(int n) {
    NodeRig rig = new NodeRig();
    rig.reserve(n, "account-0-budget-0");
    long start = Clocks.cpuNanos();
    for (int i = 0; i < n; i++) {
      rig.reserve(i, "account-0-budget-0");
      rig.settle(i, "account-0-budget-0");
      rig.advance(1);
    }
    return Clocks.cpuNanos() - start;
  }

  private static double bills(int n) {
    NodeRig rig = new NodeRig();
    EventRecorder events =
        new EventRecorder(new HybridClock(rig.scope()::wallMillis), "host-0", e -> {});
    BillingService billing =
        new BillingService(
            rig.scope(),
            rig.table(),
            new MemorySlopes.NoReservations(),
            events,
            () -> 1L,
            bill -> CompletableFuture.completedFuture(true),
            () -> {},
            2 * n);
    billing.start();
    long start = Clocks.cpuNanos();
    for (int i = 0; i < n; i++) {
      Bill b = MemorySlopes.bill(i);
      billing.record(b, new Reservation(b.reservationId(), b.budget(), b.holder(), 1_000));
    }
    rig.advance(6_000);
    double cpu = Clocks.cpuNanos() - start;
    if (billing.pending() > 0) {
      throw new IllegalStateException("bills are left: " + billing.pending());
    }
    return cpu;
  }

  private static double publish(int upstreams, int accounts, int budgets) {
    NodeRig rig = new NodeRig();
    String toml = SampleConfiguration.toToml(upstreams, accounts, budgets);
    rig.publish(toml);
    long start = Clocks.cpuNanos();
    for (int i = 0; i < PUBLICATIONS; i++) {
      rig.publish(toml + "# " + i + "\n");
    }
    return (double) (Clocks.cpuNanos() - start) / PUBLICATIONS;
  }
}
