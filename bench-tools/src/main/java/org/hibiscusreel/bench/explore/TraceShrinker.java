package org.hibiscusreel.bench.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.Trace;

/** Reduces a failing trace to a smaller one that still fails. */
public final class TraceShrinker {

  private TraceShrinker() {}

  /**
   * Removes single faults and then blocks of arrivals, halving the block size after each pass.
   *
   * @param trace a failing trace
   * @param fails returns whether a trace fails
   * @return a failing trace; no smaller one was found by this procedure
   */
  public static Trace shrink(Trace trace, Predicate<Trace> fails) {
    List<Fault> faults = removeBlocks(trace.faults(), 1, f -> fails.test(trace.withFaults(f)));
    Trace reducedTrace = trace.withFaults(faults);
    List<Arrival> arrivals = reducedTrace.arrivals();
    for (int block = arrivals.size() / 2; block >= 1; block /= 2) {
      arrivals =
          removeBlocks(arrivals, block, a -> fails.test(new Trace(trace.topology(), a, faults)));
    }
    return new Trace(trace.topology(), arrivals, faults);
  }

  /**
   * Removes blocks of elements as long as the rest still fails.
   *
   * @param all elements that fail together
   * @param block number of elements that are removed at a time
   * @param fails returns whether elements fail
   * @param <T> type of the elements
   * @return the elements that are left, which fail
   */
  public static <T> List<T> removeBlocks(List<T> all, int block, Predicate<List<T>> fails) {
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
