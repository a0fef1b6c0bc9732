package org.hibiscusreel.bench.sim;

import java.util.List;

/**
 * Requests and faults of a run.
 *
 * @param topology topology of the deployment
 * @param arrivals requests in chronological order
 * @param faults faults in chronological order
 */
public record Trace(Topology topology, List<Arrival> arrivals, List<Fault> faults) {

  /** Creates a trace with unmodifiable copies of the lists. */
  public Trace {
    arrivals = List.copyOf(arrivals);
    faults = List.copyOf(faults);
  }

  /**
   * Returns a copy of this trace with other faults.
   *
   * @param other faults of the copy
   * @return the copy
   */
  public Trace withFaults(List<Fault> other) {
    return new Trace(topology, arrivals, other);
  }

  /**
   * Returns the time of the last arrival or of the end of the last fault, whichever is later.
   *
   * @return milliseconds since the start of the trace
   */
  public long end() {
    long a = arrivals.stream().mapToLong(Arrival::at).max().orElse(0);
    long f = faults.stream().mapToLong(Fault::end).max().orElse(0);
    return Math.max(a, f);
  }
}
