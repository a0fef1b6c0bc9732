package org.hibiscusreel.core.ledger;

import java.util.Objects;

/**
 * A bill that is not in the platform yet.
 *
 * @param bill the bill
 * @param billedId request identifier that keys the bill
 */
public record PendingBill(Bill bill, String billedId) {

  private static final int PREFIX_DIGITS = 8;

  /**
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
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

  /** Decisions about a bill whose key is taken. */
  public enum Verdict {
    /** The bill in the platform is this one. */
    WRITTEN,
    /** The request was billed by another attempt. */
    BILLED_BEFORE,
    /** Another request with the same identifier was billed; this one needs another key. */
    OTHER_REQUEST
  }

  /**
   * Compares this bill with the one that the platform has under its key.
   *
   * @param present the bill in the platform
   * @return the verdict
   */
  public Verdict compare(Bill present) {
    if (present.reservationId().equals(bill.reservationId())
        && present.server().equals(bill.server())) {
      return Verdict.WRITTEN;
    }
    boolean sameRequest = present.fingerprint().equals(bill.fingerprint());
    return sameRequest || !billedId.equals(bill.requestId())
        ? Verdict.BILLED_BEFORE
        : Verdict.OTHER_REQUEST;
  }

  /**
   * Returns this bill under a key that contains the fingerprint, so that reusing a request
   * identifier for another request does not yield service that is not billed.
   *
   * @return the bill under the other key
   */
  public PendingBill withFingerprintKey() {
    String digits = bill.fingerprint();
    String prefix = digits.substring(0, Math.min(PREFIX_DIGITS, digits.length()));
    return new PendingBill(bill, bill.requestId() + "~" + prefix);
  }
}
