package org.hibiscusreel.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class BillBatchTest {

  private static PendingBill bill(String request, String holder, String reservation, String print) {
    return PendingBill.of(
        new Bill(
            "account",
            request,
            "main",
            holder,
            "server",
            reservation,
            "model",
            1,
            2,
            1.0,
            "site",
            print,
            0,
            0,
            0));
  }

  /** Guards against transactions above the platform's limit or with a key twice. */
  @Test
  void selectsDistinctKeysWithinTheRowsOfOneTransaction() {
    List<PendingBill> pending = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      pending.add(bill("q" + i / 2, "h" + i % 3, "r" + i, "print"));
    }
    BillBatch batch = BillBatch.select(pending, 7);
    assertThat(batch.bills())
        .extracting(p -> p.bill().reservationId())
        .containsExactly("r0", "r2", "r4", "r6");
    assertThat(batch.spent())
        .isEqualTo(
            Map.of(
                new SpentKey("h0", "main", "server"), 6L,
                new SpentKey("h2", "main", "server"), 3L,
                new SpentKey("h1", "main", "server"), 3L));
    assertThat(BillBatch.select(List.of(), 7).bills()).isEmpty();
  }

  /** Guards against billing a request twice, or another request under its identifier not at all. */
  @Test
  void comparesWithTheBillUnderTheSameKey() {
    PendingBill own = bill("q", "h", "r1", "0123456789");
    PendingBill otherAttempt = bill("q", "h", "r2", "0123456789");
    PendingBill otherRequest = bill("q", "h", "r3", "9876543210");
    assertThat(own.compare(own.bill())).isEqualTo(PendingBill.Verdict.WRITTEN);
    assertThat(own.compare(otherAttempt.bill())).isEqualTo(PendingBill.Verdict.BILLED_BEFORE);
    assertThat(own.compare(otherRequest.bill())).isEqualTo(PendingBill.Verdict.OTHER_REQUEST);
    PendingBill renamed = own.withFingerprintKey();
    assertThat(renamed.billedId()).isEqualTo("q~01234567");
    assertThat(renamed.compare(otherAttempt.bill())).isEqualTo(PendingBill.Verdict.BILLED_BEFORE);
  }
}
