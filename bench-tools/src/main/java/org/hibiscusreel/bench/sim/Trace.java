package org.hibiscusreel.bench.sim;

import java.util.List;

/**
 * What happens in one run.
 *
 * @param topology shape of the deployment
 * @param arrivals requests in order of time
 * @param faults faults in order of time
 */
public record Trace(Topology topology, List<Arrival> arrivals, List<Fault> faults) {

  /** Copies the lists. */
  public Trace {
    arrivals = List.copyOf(arrivals);
    faults = List.copyOf(faults);
  }

  /**
   * Returns the trace with other faults.
   *
   * @param other the faults
   * @return the changed trace
   */
  public Trace withFaults(List<Fault> other) {
    return new Trace(topology, arrivals, other);
  }

  /**
   * Returns when the last arrival or fault is over.
   *
   * @return virtual time in milliseconds
   */
  public long end() {
    long a = arrivals.stream().mapToLong(Arrival::at).max().orElse(0);
    long f = faults.stream().mapToLong(Fault::end).max().orElse(0);
    return Math.max(a, f);
  }
}
