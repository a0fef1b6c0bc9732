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

/** Heap that stays reachable, per item that a daemon keeps. */
final class MemorySlopes {

  private static final int[] ITEMS = {5_000, 10_000, 20_000, 40_000};
  private static final int[] MEMBERS = {205, 410, 820, 1_640};
  private static final int[] REQUESTS = {1_000, 2_000, 4_000, 8_000};
  private static final int[] ENTRIES = {500, 1_000, 2_000, 4_000};

  /** Reservations that wait for draws together. */
  private static final int BATCH = 500;

  private static final int BODY_BYTES = 4_000;
  private static final String OPEN_REQUEST = "heap of an open model request, 4,000 B body";

  void measure(Consumer<Slope> out) {
    out.accept(slope("heap of a budget held", "budget", ITEMS, MemorySlopes::budgets));
    out.accept(
        slope("heap of an open reservation", "reservation", ITEMS, n -> reservations(n, false)));
    out.accept(
        slope("heap of a closed reservation", "reservation", ITEMS, n -> reservations(n, true)));
    out.accept(slope("heap of a buffered bill", "bill", ITEMS, MemorySlopes::bills));
    out.accept(slope("heap of a member", "member", MEMBERS, MemorySlopes::members));
    out.accept(slope(OPEN_REQUEST, "request", REQUESTS, this::requests));
    out.accept(slope("heap of an upstream", "upstream", ENTRIES, n -> configuration(n, 1, 1)));
    out.accept(slope("heap of a client account", "account", ENTRIES, n -> configuration(1, n, n)));
    out.accept(
        slope(
            "heap of a budget in the configuration", "budget", ITEMS, n -> configuration(1, 9, n)));
    out.accept(body("upstream", ENTRIES, n -> SampleConfiguration.toToml(n, 1, 1)));
    out.accept(body("account", ENTRIES, n -> SampleConfiguration.toToml(1, n, n)));
    out.accept(body("budget", ITEMS, n -> SampleConfiguration.toToml(1, 9, n)));
  }

  private static Slope slope(String quantity, String per, int[] sizes, IntFunction<Object> build) {
    retained(build, sizes[0]);
    return Slope.measure(quantity, "B", per, sizes, n -> retained(build, (int) n));
  }

  private static Slope body(String per, int[] sizes, IntFunction<String> toml) {
    return Slope.measure(
        "bytes of a configuration body", "B", per, sizes, n -> toml.apply((int) n).length());
  }

  private static double retained(IntFunction<Object> build, int n) {
    long before = Clocks.retainedBytes();
    Object built = build.apply(n);
    try {
      return Clocks.retainedBytes() - before;
    } finally {
      Reference.reachabilityFence(built);
    }
  }

  private static Object budgets(int n) {
    NodeRig rig = new NodeRig();
    for (int from = 0; from < n; from += BATCH) {
      for (int i = from; i < from + BATCH; i++) {
        var unused = rig.startReserve(i, "account-0-budget-" + i);
      }
      rig.advance(2_000);
      for (int i = from; i < from + BATCH; i++) {
        rig.settle(i, "account-0-budget-" + i);
      }
    }
    if (rig.node().status().tokensHeld() < n * 500L) {
      throw new IllegalStateException("not all budgets are held: " + rig.node().status());
    }
    // Closed reservations are remembered for ten minutes; the next one drops them.
    rig.advance(700_000);
    rig.reserve(n, "account-0-budget-0");
    rig.settle(n, "account-0-budget-0");
    return rig;
  }

  private static Object reservations(int n, boolean closed) {
    NodeRig rig = new NodeRig();
    for (int i = 0; i < n; i++) {
      rig.reserve(i, "account-0-budget-0");
      if (closed) {
        rig.settle(i, "account-0-budget-0");
      }
      rig.advance(1);
    }
    rig.advance(1_000);
    return rig;
  }

  private static Object bills(int n) {
    NodeRig rig = new NodeRig();
    rig.table().setDown(true);
    EventRecorder events =
        new EventRecorder(new HybridClock(rig.scope()::wallMillis), "host-0", e -> {});
    BillingService billing =
        new BillingService(
            rig.scope(),
            rig.table(),
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
    return List.of(rig, billing);
  }

  /** Returns a bill with the strings of a request that arrived over the network. */
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
    NodeRig rig = new NodeRig();
    for (int i = 1; i <= n; i++) {
      rig.handleProbe(NodeRig.probe(i, 0));
    }
    return rig;
  }

  private static Object configuration(int upstreams, int accounts, int budgets) {
    NodeRig rig = new NodeRig();
    rig.publish(SampleConfiguration.toToml(upstreams, accounts, budgets));
    return rig;
  }

  private Object requests(int n) {
    NodeRig rig = new NodeRig();
    rig.publish(SampleConfiguration.toToml(4_000, 1, 1));
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
      rig.node().requests().submit(r, new Ignored());
      if (i % 100 == 0) {
        rig.advance(1);
      }
    }
    rig.advance(100);
    if (rig.node().status().requestsInProgress() != n) {
      throw new IllegalStateException("open requests: " + rig.node().status());
    }
    return rig;
  }

  private static final class Ignored implements AnswerListener {
    @Override
    public void onPiece(String text) {}

    @Override
    public void onComplete(AnswerEnd end) {}

    @Override
    public void onProblem(Problem problem) {
      throw new IllegalStateException("the request was refused: " + problem);
    }
  }

  /** Reservations that are kept elsewhere. */
  static final class NoReservations implements BudgetReservations {
    @Override
    public CompletableFuture<ReservationResult> reserve(
        RequestKey key, String budget, long tokens, long waitMillis) {
      throw new UnsupportedOperationException("only settles");
    }

    @Override
    public void trim(Reservation reservation, long tokens) {}

    @Override
    public void close(Reservation reservation, long tokens) {}
  }
}
