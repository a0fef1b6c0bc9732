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

/** Measures the CPU time of one thread per handled item, without network I/O. */
final class CpuSlopes {

  private static final int[] MEMBER_COUNTS = {50, 100, 205, 410};
  private static final int[] ITEM_COUNTS = {5_000, 10_000, 20_000, 40_000};
  private static final int[] ENTRY_COUNTS = {250, 500, 1_000, 2_000};
  private static final int PROBES_PER_ROUND = 5_000;
  private static final int PUBLICATIONS_PER_ROUND = 5;
  private static final int ROUNDS = 3;
  private static final double NANOS_PER_MICRO = 1e3;

  /** Measures all quantities and passes each on when it is complete. */
  void measure(Consumer<Slope> out) {
    out.accept(slope("CPU of a probe handled", "member", MEMBER_COUNTS, CpuSlopes::measureProbe));
    out.accept(
        slope(
            "CPU of reserve and settle handled",
            "reservation",
            ITEM_COUNTS,
            CpuSlopes::measureReservations));
    out.accept(slope("CPU of a bill", "bill", ITEM_COUNTS, CpuSlopes::measureBills));
    out.accept(
        slope(
            "CPU of a configuration applied",
            "upstream",
            ENTRY_COUNTS,
            n -> measurePublish(n, 1, 1)));
    out.accept(
        slope(
            "CPU of a configuration applied",
            "account",
            ENTRY_COUNTS,
            n -> measurePublish(1, n, n)));
    out.accept(
        slope(
            "CPU of a configuration applied",
            "listed budget",
            ITEM_COUNTS,
            n -> measurePublish(1, 970, n)));
  }

  /**
   * Measures each size as the median of several rounds, since other processes disturb the CPU
   * caches.
   */
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

  private static double measureProbe(int members) {
    NodeHarness harness = new NodeHarness();
    for (int i = 1; i <= members; i++) {
      harness.handleProbe(NodeHarness.probe(i, 0));
    }
    // A probe response is longer during the first minute after a member joins; advance past it.
    for (int s = 0; s < 120; s++) {
      harness.advance(1_000);
      for (int i = 1; i <= members; i += 7) {
        harness.handleProbe(NodeHarness.probe(i, 0));
      }
    }
    byte[] probe = NodeHarness.probe(1, 3);
    long start = ResourceUsage.cpuNanos();
    for (int i = 0; i < PROBES_PER_ROUND; i++) {
      harness.handleProbe(probe);
    }
    return (double) (ResourceUsage.cpuNanos() - start) / PROBES_PER_ROUND;
  }

  private static double measureReservations(int n) {
    NodeHarness harness = new NodeHarness();
    harness.reserve(n, "account-0-budget-0");
    long start = ResourceUsage.cpuNanos();
    for (int i = 0; i < n; i++) {
      harness.reserve(i, "account-0-budget-0");
      harness.settle(i, "account-0-budget-0");
      harness.advance(1);
    }
    return ResourceUsage.cpuNanos() - start;
  }

  private static double measureBills(int n) {
    NodeHarness harness = new NodeHarness();
    EventRecorder events =
        new EventRecorder(new HybridClock(harness.scope()::wallMillis), "host-0", e -> {});
    BillingService billing =
        new BillingService(
            harness.scope(),
            harness.table(),
            new MemorySlopes.NoReservations(),
            events,
            () -> 1L,
            bill -> CompletableFuture.completedFuture(true),
            () -> {},
            2 * n);
    billing.start();
    long start = ResourceUsage.cpuNanos();
    for (int i = 0; i < n; i++) {
      Bill b = MemorySlopes.bill(i);
      billing.record(b, new Reservation(b.reservationId(), b.budget(), b.holder(), 1_000));
    }
    harness.advance(6_000);
    double cpu = ResourceUsage.cpuNanos() - start;
    if (billing.pending() > 0) {
      throw new IllegalStateException("bills not yet written: " + billing.pending());
    }
    return cpu;
  }

  private static double measurePublish(int upstreams, int accounts, int budgets) {
    NodeHarness harness = new NodeHarness();
    String toml = SampleConfiguration.toToml(upstreams, accounts, budgets);
    harness.publish(toml);
    long start = ResourceUsage.cpuNanos();
    for (int i = 0; i < PUBLICATIONS_PER_ROUND; i++) {
      harness.publish(toml + "# " + i + "\n");
    }
    return (double) (ResourceUsage.cpuNanos() - start) / PUBLICATIONS_PER_ROUND;
  }
}
