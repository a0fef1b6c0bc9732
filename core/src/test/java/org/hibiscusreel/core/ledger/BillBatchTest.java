package org.hibiscusreel.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class BillBatchTest {

  private static PendingBill bill(
      String request, String holder, String reservation, String fingerprint) {
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
            fingerprint,
            0,
            0,
            0));
  }

  /** Guards against transactions that exceed the platform's limit or contain a key twice. */
  @Test
  void selectsDistinctKeysWithinTheRowLimit() {
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

  /**
   * Guards against billing a request twice, and against not billing another request that reuses its
   * identifier.
   */
  @Test
  void comparesWithTheExistingBillUnderTheSameKey() {
    PendingBill ownBill = bill("q", "h", "r1", "0123456789");
    PendingBill otherAttempt = bill("q", "h", "r2", "0123456789");
    PendingBill otherRequest = bill("q", "h", "r3", "9876543210");
    assertThat(ownBill.compare(ownBill.bill())).isEqualTo(PendingBill.Verdict.WRITTEN);
    assertThat(ownBill.compare(otherAttempt.bill())).isEqualTo(PendingBill.Verdict.BILLED_BEFORE);
    assertThat(ownBill.compare(otherRequest.bill())).isEqualTo(PendingBill.Verdict.OTHER_REQUEST);
    PendingBill rekeyed = ownBill.withFingerprintKey();
    assertThat(rekeyed.billedId()).isEqualTo("q~01234567");
    assertThat(rekeyed.compare(otherAttempt.bill())).isEqualTo(PendingBill.Verdict.BILLED_BEFORE);
  }
}
