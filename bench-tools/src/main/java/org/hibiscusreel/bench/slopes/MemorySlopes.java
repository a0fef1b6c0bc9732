package org.hibiscusreel.bench.slopes;

import java.lang.ref.Reference;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.ledger.BillingService;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.coordination.request.AnswerListener;
import org.hibiscusreel.coordination.request.ModelRequest;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.core.timeline.HybridClock;

/** Measures the reachable heap per item that a daemon keeps. */
final class MemorySlopes {

  private static final int[] ITEM_COUNTS = {5_000, 10_000, 20_000, 40_000};
  private static final int[] MEMBER_COUNTS = {205, 410, 820, 1_640};
  private static final int[] REQUEST_COUNTS = {1_000, 2_000, 4_000, 8_000};
  private static final int[] ENTRY_COUNTS = {500, 1_000, 2_000, 4_000};

  /** Number of reservations that wait for draws concurrently. */
  private static final int RESERVATION_BATCH = 500;

  private static final int BODY_BYTES = 4_000;
  private static final String OPEN_REQUEST = "heap of an open model request, 4,000 B body";

  /** Measures all quantities and passes each on when it is complete. */
  void measure(Consumer<Slope> out) {
    out.accept(slope("heap of a budget held", "budget", ITEM_COUNTS, MemorySlopes::budgets));
    out.accept(
        slope(
            "heap of an open reservation",
            "reservation",
            ITEM_COUNTS,
            n -> reservations(n, false)));
    out.accept(
        slope(
            "heap of a closed reservation",
            "reservation",
            ITEM_COUNTS,
            n -> reservations(n, true)));
    out.accept(slope("heap of a buffered bill", "bill", ITEM_COUNTS, MemorySlopes::bills));
    out.accept(slope("heap of a member", "member", MEMBER_COUNTS, MemorySlopes::members));
    out.accept(slope(OPEN_REQUEST, "request", REQUEST_COUNTS, this::requests));
    out.accept(slope("heap of an upstream", "upstream", ENTRY_COUNTS, n -> configuration(n, 1, 1)));
    out.accept(
        slope("heap of a client account", "account", ENTRY_COUNTS, n -> configuration(1, n, n)));
    out.accept(
        slope(
            "heap of a budget in the configuration",
            "budget",
            ITEM_COUNTS,
            n -> configuration(1, 9, n)));
    out.accept(
        configurationBodySlope("upstream", ENTRY_COUNTS, n -> SampleConfiguration.toToml(n, 1, 1)));
    out.accept(
        configurationBodySlope("account", ENTRY_COUNTS, n -> SampleConfiguration.toToml(1, n, n)));
    out.accept(
        configurationBodySlope("budget", ITEM_COUNTS, n -> SampleConfiguration.toToml(1, 9, n)));
  }

  private static Slope slope(String quantity, String per, int[] sizes, IntFunction<Object> build) {
    measureRetained(build, sizes[0]);
    return Slope.measure(quantity, "B", per, sizes, n -> measureRetained(build, (int) n));
  }

  private static Slope configurationBodySlope(String per, int[] sizes, IntFunction<String> toml) {
    return Slope.measure(
        "bytes of a configuration body", "B", per, sizes, n -> toml.apply((int) n).length());
  }

  private static double measureRetained(IntFunction<Object> build, int n) {
    long before = ResourceUsage.retainedBytes();
    Object built = build.apply(n);
    try {
      return ResourceUsage.retainedBytes() - before;
    } finally {
      Reference.reachabilityFence(built);
    }
  }

  private static Object budgets(int n) {
    NodeHarness harness = new NodeHarness();
    for (int from = 0; from < n; from += RESERVATION_BATCH) {
      for (int i = from; i < from + RESERVATION_BATCH; i++) {
        var unused = harness.startReserve(i, "account-0-budget-" + i);
      }
      harness.advance(2_000);
      for (int i = from; i < from + RESERVATION_BATCH; i++) {
        harness.settle(i, "account-0-budget-" + i);
      }
    }
    if (harness.node().status().tokensHeld() < n * 500L) {
      throw new IllegalStateException("not all budgets are held: " + harness.node().status());
    }
    // Closed reservations are kept for ten minutes and removed at the next reservation.
    harness.advance(700_000);
    harness.reserve(n, "account-0-budget-0");
    harness.settle(n, "account-0-budget-0");
    return harness;
  }

  private static Object reservations(int n, boolean closed) {
    NodeHarness harness = new NodeHarness();
    for (int i = 0; i < n; i++) {
      harness.reserve(i, "account-0-budget-0");
      if (closed) {
        harness.settle(i, "account-0-budget-0");
      }
      harness.advance(1);
    }
    harness.advance(1_000);
    return harness;
  }

  private static Object bills(int n) {
    NodeHarness harness = new NodeHarness();
    harness.table().setDown(true);
    EventRecorder events =
        new EventRecorder(new HybridClock(harness.scope()::wallMillis), "host-0", e -> {});
    BillingService billing =
        new BillingService(
            harness.scope(),
            harness.table(),
            new NoReservations(),
            events,
            () -> 1L,
            bill -> CompletableFuture.completedFuture(true),
            () -> {},
            2 * n);
    for (int i = 0; i < n; i++) {
      Bill b = bill(i);
      billing.record(b, new Reservation(b.reservationId(), b.budget(), b.holder(), 1_000));
    }
    return List.of(harness, billing);
  }

  /** Returns a bill with the strings that a request received over the network has. */
  static Bill bill(int i) {
    return new Bill(
        SyntheticTable.ACCOUNT,
        String.format("6f1c2d3e-0000-4000-8000-%012x", i),
        "account-0-budget-" + i,
        "host-5.1767600000000.0a1b2c3d",
        "host-0.1767600000000.0a1b2c3d",
        "host-0.1767600000000.0a1b2c3d.r" + i,
        SampleConfiguration.MODEL,
        400,
        421,
        1,
        "site-0",
        String.format("%064x", i),
        1_767_600_000_000L + i,
        1_767_600_010_000L + i,
        0);
  }

  private static Object members(int n) {
    NodeHarness harness = new NodeHarness();
    for (int i = 1; i <= n; i++) {
      harness.handleProbe(NodeHarness.probe(i, 0));
    }
    return harness;
  }

  private static Object configuration(int upstreams, int accounts, int budgets) {
    NodeHarness harness = new NodeHarness();
    harness.publish(SampleConfiguration.toToml(upstreams, accounts, budgets));
    return harness;
  }

  private Object requests(int n) {
    NodeHarness harness = new NodeHarness();
    harness.publish(SampleConfiguration.toToml(4_000, 1, 1));
    for (int i = 0; i < n; i++) {
      ModelRequest r =
          new ModelRequest(
              new RequestKey(
                  SyntheticTable.ACCOUNT, String.format("6f1c2d3e-0000-4000-8000-%012x", i)),
              SampleConfiguration.MODEL,
              "account-0-budget-0",
              "",
              new byte[BODY_BYTES],
              BODY_BYTES,
              512,
              List.of(String.format("%016x", i)),
              String.format("%064x", i),
              0);
      harness.node().requests().submit(r, new IgnoringListener());
      if (i % 100 == 0) {
        harness.advance(1);
      }
    }
    harness.advance(100);
    if (harness.node().status().requestsInProgress() != n) {
      throw new IllegalStateException("open requests: " + harness.node().status());
    }
    return harness;
  }

  private static final class IgnoringListener implements AnswerListener {
    @Override
    public void onPiece(String text) {}

    @Override
    public void onComplete(AnswerEnd end) {}

    @Override
    public void onProblem(Problem problem) {
      throw new IllegalStateException("the request was refused: " + problem);
    }
  }

  /** Reservations that accept settlements only and keep no state. */
  static final class NoReservations implements BudgetReservations {
    @Override
    public CompletableFuture<ReservationResult> reserve(
        RequestKey key, String budget, long tokens, long waitMillis) {
      throw new UnsupportedOperationException("only trim and close are supported");
    }

    @Override
    public void trim(Reservation reservation, long tokens) {}

    @Override
    public void close(Reservation reservation, long tokens) {}
  }
}
