package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/** Faults to inject, set as JSON with {@code POST /faults}. */
@JsonAutoDetect(fieldVisibility = JsonAutoDetect.Visibility.ANY)
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
final class Faults {

  /**
   * Outage: empty for none, {@code refuse} (status 503) or {@code drop} (connections are closed).
   */
  String down = "";

  /** Delay of each request in milliseconds. */
  int slowMs;

  /** Number of writes that take effect but whose response is lost. */
  int loseNext;

  /** Probability that the response of a write is lost after the write took effect. */
  double loseProbability;

  /** Seed of the random choices for {@link #loseProbability}. */
  long loseSeed = 1;

  /** Duration of a single pause of the whole process in milliseconds. */
  int pauseMs;

  /** Text that crashes the upstream if a prompt or body contains it; empty for none. */
  String crashMarker = "";

  /** Time until a crashed upstream accepts connections again, in milliseconds. */
  int crashMs = 1000;

  /** Additional age of load reports in milliseconds. */
  int loadLagMs;

  /** Whether orders with any fencing number are accepted. */
  boolean fencingIgnored;

  /** Whether the engine reports that it is leaving. */
  boolean leaving;
}
