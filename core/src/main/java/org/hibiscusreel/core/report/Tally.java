package org.hibiscusreel.core.report;

/**
 * Number and worth of requests.
 *
 * @param count number of requests
 * @param worth sum of their worth in the operators' unit
 */
public record Tally(long count, double worth) {

  /** Tally of no requests. */
  public static final Tally NONE = new Tally(0, 0);

  /**
   * Adds one request.
   *
   * @param requestWorth worth of the request
   * @return the sum
   */
  public Tally plus(double requestWorth) {
    return new Tally(count + 1, worth + requestWorth);
  }

  /**
   * Adds another tally.
   *
   * @param other tally to add
   * @return the sum
   */
  public Tally plus(Tally other) {
    return new Tally(count + other.count, worth + other.worth);
  }
}
