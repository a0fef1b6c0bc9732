package org.hibiscusreel.core.budget;

/** Which way a budget leans between stranding tokens in allotments and refusing falsely. */
public enum Lean {
  /** Small allotments: little is stranded after a crash, outages are ridden out briefly. */
  STRICT(5),
  /** The default. */
  BALANCED(30),
  /** Large allotments: long outages are ridden out, more may be stranded after a crash. */
  OPEN(60);

  private static final long MILLIS_PER_MINUTE = 60_000;

  private final int rideOutMinutes;

  Lean(int rideOutMinutes) {
    this.rideOutMinutes = rideOutMinutes;
  }

  /**
   * Returns the platform outage that an allotment should last for.
   *
   * @return the duration in milliseconds
   */
  public long rideOutMillis() {
    return rideOutMinutes * MILLIS_PER_MINUTE;
  }
}
