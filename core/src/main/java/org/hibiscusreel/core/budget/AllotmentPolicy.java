package org.hibiscusreel.core.budget;

/**
 * Sizing policy for allotments: a trade-off between tokens stranded after a crash and unnecessary
 * refusals during a platform outage.
 */
public enum AllotmentPolicy {
  /**
   * Small allotments: few tokens are stranded after a crash, but only short outages are tolerated.
   */
  STRICT(5),
  /** Medium allotments, the default. */
  BALANCED(30),
  /**
   * Large allotments: long outages are tolerated, but more tokens may be stranded after a crash.
   */
  OPEN(60);

  private static final long MILLIS_PER_MINUTE = 60_000;

  private final int toleratedOutageMinutes;

  AllotmentPolicy(int toleratedOutageMinutes) {
    this.toleratedOutageMinutes = toleratedOutageMinutes;
  }

  /**
   * Returns the duration of a platform outage for which an allotment should last.
   *
   * @return the duration in milliseconds
   */
  public long toleratedOutageMillis() {
    return toleratedOutageMinutes * MILLIS_PER_MINUTE;
  }
}
