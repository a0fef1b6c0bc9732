package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;

/** Faults that a stand-in shows, set as JSON at {@code POST /faults}. */
@JsonAutoDetect(fieldVisibility = JsonAutoDetect.Visibility.ANY)
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
final class Faults {

  /** Empty, {@code refuse} (status 503) or {@code drop} (the connection is closed). */
  String down = "";

  /** Delay of each request in milliseconds. */
  int slowMs;

  /** Number of effective writes whose response is lost. */
  int loseNext;

  /** Probability that the response of an effective write is lost. */
  double loseProbability;

  /** Seed of {@link #loseProbability}. */
  long loseSeed = 1;

  /** Blocks the whole process once, in milliseconds. */
  int pauseMs;

  /** Text whose presence in a prompt or body crashes the upstream; empty for none. */
  String crashMarker = "";

  /** Time until a crashed upstream is back, in milliseconds. */
  int crashMs = 1000;

  /** Additional age of load reports in milliseconds. */
  int loadLagMs;

  /** Accepts orders with any fencing number. */
  boolean fencingIgnored;

  /** Reports the engine as leaving. */
  boolean leaving;
}
