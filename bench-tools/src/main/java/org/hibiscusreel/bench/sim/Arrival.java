package org.hibiscusreel.bench.sim;

/**
 * One request of a trace.
 *
 * @param at virtual time in milliseconds
 * @param id the caller's request identifier
 * @param account client account
 * @param budget budget to charge
 * @param domain failure domain whose daemons the caller is sent to first
 * @param kind kind of the call
 * @param prompt prompt of a model call, without quotes
 * @param pieces number of pieces of the answer of a model call
 * @param worth worth of the request
 */
public record Arrival(
    long at,
    String id,
    String account,
    String budget,
    String domain,
    Kind kind,
    String prompt,
    int pieces,
    double worth) {

  /** Kinds of call. */
  public enum Kind {
    /** A model call. */
    MODEL,
    /** A plain service call that may be repeated. */
    REPEATABLE,
    /** A plain service call that may not be repeated. */
    ONCE
  }

  /**
   * Returns the tokens that are reserved for the request.
   *
   * @return bytes of the prompt and the token limit of a model call, the price of a service call
   */
  public long worstCase() {
    return kind == Kind.MODEL
        ? SimText.body(prompt, pieces).length + (long) pieces
        : Topology.SERVICE_TOKENS;
  }
}
