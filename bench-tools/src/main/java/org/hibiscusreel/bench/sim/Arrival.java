package org.hibiscusreel.bench.sim;

/**
 * A request of a trace.
 *
 * @param at time of the first attempt, in milliseconds since the start of the trace
 * @param id request identifier chosen by the caller
 * @param account client account of the caller
 * @param budget identifier of the budget to charge
 * @param domain failure domain whose daemons the load balancer prefers
 * @param kind kind of the call
 * @param prompt prompt of a model call, without quotes
 * @param pieces number of pieces in the answer to a model call
 * @param worth worth of the request in the operators' unit
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

  /** Kind of call. */
  public enum Kind {
    /** A model call. */
    MODEL,
    /** A plain service call that may be repeated. */
    REPEATABLE,
    /** A plain service call that may not be repeated. */
    ONCE
  }

  /**
   * Returns the number of tokens that are reserved for the request.
   *
   * @return for a model call the bytes of its body plus its token limit, for a service call its
   *     price
   */
  public long reservedTokens() {
    return kind == Kind.MODEL
        ? SimulatedPayloads.body(prompt, pieces).length + (long) pieces
        : Topology.SERVICE_TOKENS;
  }
}
