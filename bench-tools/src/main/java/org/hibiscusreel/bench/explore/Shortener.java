package org.hibiscusreel.bench.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.Trace;

/** Shortens a trace that breaks a promise, as long as it still breaks one. */
public final class Shortener {

  private Shortener() {}

  /**
   * Removes faults one by one and then arrivals in shrinking blocks.
   *
   * @param trace a trace that fails
   * @param fails tells whether a trace fails
   * @return a trace that fails, with as few faults and arrivals as were found
   */
  public static Trace shorten(Trace trace, Predicate<Trace> fails) {
    List<Fault> faults = reduce(trace.faults(), 1, f -> fails.test(trace.withFaults(f)));
    Trace fewer = trace.withFaults(faults);
    List<Arrival> arrivals = fewer.arrivals();
    for (int block = arrivals.size() / 2; block >= 1; block /= 2) {
      arrivals = reduce(arrivals, block, a -> fails.test(new Trace(trace.topology(), a, faults)));
    }
    return new Trace(trace.topology(), arrivals, faults);
  }

  private static <T> List<T> reduce(List<T> all, int block, Predicate<List<T>> fails) {
    List<T> kept = new ArrayList<>(all);
    int i = 0;
    while (i < kept.size()) {
      List<T> without = new ArrayList<>(kept);
      without.subList(i, Math.min(i + block, kept.size())).clear();
      if (fails.test(without)) {
        kept = without;
      } else {
        i += block;
      }
    }
    return kept;
  }
}
