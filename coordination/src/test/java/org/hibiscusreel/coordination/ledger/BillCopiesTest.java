package org.hibiscusreel.coordination.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.wire.KeepBillsRequest;
import org.hibiscusreel.wire.KeptBill;
import org.junit.jupiter.api.Test;

class BillCopiesTest {

  private static final long TWO_CHECKS_MILLIS = 25_000;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final List<Bill> billed = new ArrayList<>();
  private final BillCopies copies =
      new BillCopies(
          scheduler,
          table,
          new GrantingReservations(),
          new RecordingBilling(),
          new EventRecorder(new HybridClock(scheduler::wallMillis), "keeper", e -> {}),
          "keeper");

  /** Guards against a served request that is not billed after its server died. */
  @Test
  void billsForDeadServer() {
    addCopy();
    putServer(IncarnationState.DEAD);
    scheduler.run(TWO_CHECKS_MILLIS);
    assertThat(billed).hasSize(1);
    assertThat(billed.get(0).holder()).isEqualTo("own-holder");
    assertThat(billed.get(0).tokens()).isEqualTo(50);
  }

  /** Guards against billing a request whose server is alive and will flush the bill itself. */
  @Test
  void waitsForLiveServer() {
    addCopy();
    putServer(IncarnationState.LIVE);
    scheduler.run(TWO_CHECKS_MILLIS);
    assertThat(billed).isEmpty();
    putServer(IncarnationState.RECOVERED);
    scheduler.run(TWO_CHECKS_MILLIS);
    assertThat(billed).hasSize(1);
  }

  /** Guards against reserving tokens for a request that is already billed. */
  @Test
  void dropsCopyOfWrittenBill() {
    addCopy();
    putServer(IncarnationState.DEAD);
    table.put(TableKeys.bill("acc", "q"), "written");
    scheduler.run(TWO_CHECKS_MILLIS);
    assertThat(billed).isEmpty();
  }

  private void addCopy() {
    copies.start();
    KeptBill b =
        KeptBill.newBuilder()
            .setAccount("acc")
            .setRequestId("q")
            .setBudget("main")
            .setServer("server")
            .setTokens(50)
            .build();
    assertThat(copies.handleKeepBills(KeepBillsRequest.newBuilder().addBills(b).build()).getKept())
        .isTrue();
  }

  private void putServer(IncarnationState state) {
    table.put(
        TableKeys.incarnation("server"),
        new IncarnationRow("host", "a", "site", "", "", "", state, "", 0));
  }

  private static final class GrantingReservations implements BudgetReservations {
    @Override
    public CompletableFuture<ReservationResult> reserve(
        RequestKey key, String budget, long tokens, long waitMillis) {
      return CompletableFuture.completedFuture(
          new ReservationResult.Granted(new Reservation("r", budget, "own-holder", tokens)));
    }

    @Override
    public void trim(Reservation reservation, long tokens) {}

    @Override
    public void close(Reservation reservation, long tokens) {}
  }

  private final class RecordingBilling implements Billing {
    @Override
    public boolean hasCapacity() {
      return true;
    }

    @Override
    public boolean tryAcquireSlot() {
      return true;
    }

    @Override
    public void releaseSlot() {}

    @Override
    public void record(Bill bill, Reservation reservation) {
      billed.add(bill);
    }

    @Override
    public CompletableFuture<Void> recordDurably(Bill bill, Reservation reservation) {
      throw new UnsupportedOperationException();
    }
  }
}
