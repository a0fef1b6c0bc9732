package org.hibiscusreel.bench.check;

/**
 * A violation of an invariant.
 *
 * @param promise the violated invariant
 * @param detail description of the observation, for people
 */
public record Violation(Invariant promise, String detail) {

  /** The invariants that are checked. */
  public enum Invariant {
    /** More tokens were billed than the budget or an allotment covers. */
    OVERSPEND,
    /** A request has two bills, or two bills share a reservation. */
    BILLED_TWICE,
    /** A served request has no bill. */
    UNBILLED,
    /** The amount of a bill differs from the usage of the engine. */
    WRONG_AMOUNT,
    /** An answer reported as complete differs from the expected text. */
    INCOMPLETE_ANSWER,
    /** A request ran although its caller was told that it did not. */
    UNTRUE_REFUSAL,
    /** A call that may not be repeated ran more than once. */
    RUN_TWICE,
    /** A daemon went back to an earlier version of the configuration. */
    CONFIGURATION_REVERTED
  }
}
