package org.hibiscusreel.bench.check;

/**
 * A broken promise.
 *
 * @param promise which promise
 * @param detail what was seen
 */
public record Violation(Promise promise, String detail) {

  /** The promises that are checked. */
  public enum Promise {
    OVERSPEND,
    BILLED_TWICE,
    UNBILLED,
    WRONG_AMOUNT,
    INCOMPLETE_ANSWER,
    UNTRUE_REFUSAL,
    RUN_TWICE,
    CONFIGURATION_REVERTED
  }
}
