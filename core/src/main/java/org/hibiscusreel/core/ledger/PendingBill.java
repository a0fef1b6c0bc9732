package org.hibiscusreel.core.ledger;

import java.util.Objects;

/**
 * Bill that is not yet written to the platform's store.
 *
 * @param bill the bill
 * @param billedId request identifier under which the bill is written
 */
public record PendingBill(Bill bill, String billedId) {

  private static final int FINGERPRINT_PREFIX_LENGTH = 8;

  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
   */
  public PendingBill {
    Objects.requireNonNull(bill, "bill");
    Objects.requireNonNull(billedId, "billedId");
  }

  /**
   * Creates a pending bill under the caller's request identifier.
   *
   * @param bill the bill
   * @return the pending bill
   */
  public static PendingBill of(Bill bill) {
    return new PendingBill(bill, bill.requestId());
  }

  /** Result of comparing a bill with the existing bill under its key. */
  public enum Verdict {
    /** The existing bill is this one. */
    WRITTEN,
    /** The request was already billed by another attempt. */
    BILLED_BEFORE,
    /** Another request with the same identifier was billed; this bill needs another key. */
    OTHER_REQUEST
  }

  /**
   * Compares this bill with the existing one under its key.
   *
   * @param existing bill in the platform's store
   * @return the verdict
   */
  public Verdict compare(Bill existing) {
    if (existing.reservationId().equals(bill.reservationId())
        && existing.server().equals(bill.server())) {
      return Verdict.WRITTEN;
    }
    boolean isSameRequest = existing.fingerprint().equals(bill.fingerprint());
    return isSameRequest || !billedId.equals(bill.requestId())
        ? Verdict.BILLED_BEFORE
        : Verdict.OTHER_REQUEST;
  }

  /**
   * Returns this bill under a key that contains the fingerprint, so that a request that reuses the
   * identifier of another request is still billed.
   *
   * @return the bill under the other key
   */
  public PendingBill withFingerprintKey() {
    String fingerprint = bill.fingerprint();
    String prefix =
        fingerprint.substring(0, Math.min(FINGERPRINT_PREFIX_LENGTH, fingerprint.length()));
    return new PendingBill(bill, bill.requestId() + "~" + prefix);
  }
}
