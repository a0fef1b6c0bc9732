package org.hibiscusreel.core.ledger;

/**
 * Row of one billed request in the platform's store.
 *
 * @param account client account that is billed
 * @param requestId request identifier given by the caller
 * @param budget budget that is charged
 * @param holder incarnation whose allotment is charged
 * @param server incarnation that served the request
 * @param reservationId reservation that covered the request
 * @param target model name, or {@code service/method} of a plain service
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens generated, or the fixed price of a plain service call
 * @param worth value of the request in the operators' unit
 * @param site site that served the request
 * @param fingerprint SHA-256 of the normalized content, in hexadecimal
 * @param arrivedAtMillis wall-clock arrival time in milliseconds since the epoch
 * @param finishedAtMillis wall-clock time of the end of the response in milliseconds since the
 *     epoch
 * @param lateMillis time past the deadline in milliseconds, 0 if in time
 */
public record Bill(
    String account,
    String requestId,
    String budget,
    String holder,
    String server,
    String reservationId,
    String target,
    long promptTokens,
    long completionTokens,
    double worth,
    String site,
    String fingerprint,
    long arrivedAtMillis,
    long finishedAtMillis,
    long lateMillis) {

  /**
   * Returns the tokens charged to the budget.
   *
   * @return prompt and completion tokens
   */
  public long tokens() {
    return promptTokens + completionTokens;
  }
}
