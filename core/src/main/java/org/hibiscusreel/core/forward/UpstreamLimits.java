package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** Limits that upstreams name in their responses. Not thread-safe. */
public final class UpstreamLimits {

  private static final class State {
    OptionalDouble perSecond = OptionalDouble.empty();
    long statedAtMillis = Long.MIN_VALUE;
  }

  private final Map<String, State> states = new HashMap<>();

  /**
   * Processes what a response says of the limit of its upstream. A response without a limit ends
   * the limit only if its request was sent after the limit was named last, since responses on
   * several connections may overtake each other.
   *
   * @param upstream identity of the upstream
   * @param limit what the response says
   * @param sentAtMillis time at which the request was sent
   * @param nowMillis monotonic time in milliseconds
   * @return true if the limit of the upstream changed
   */
  public boolean onResponse(
      String upstream, RequestLimit limit, long sentAtMillis, long nowMillis) {
    if (limit instanceof RequestLimit.Limited l) {
      State s = states.computeIfAbsent(upstream, u -> new State());
      OptionalDouble before = s.perSecond;
      s.perSecond = OptionalDouble.of(l.perSecond());
      s.statedAtMillis = nowMillis;
      return !s.perSecond.equals(before);
    }
    State s = states.get(upstream);
    if (limit instanceof RequestLimit.Unlimited && s != null && sentAtMillis > s.statedAtMillis) {
      states.remove(upstream);
      return true;
    }
    return false;
  }

  /**
   * Returns the limit of an upstream.
   *
   * @param upstream identity of the upstream
   * @return requests per second, or empty if it has named none
   */
  public OptionalDouble perSecond(String upstream) {
    State s = states.get(upstream);
    return s == null ? OptionalDouble.empty() : s.perSecond;
  }

  /**
   * Returns the number of upstreams with a limit.
   *
   * @return 0 or more
   */
  public int count() {
    return states.size();
  }

  /**
   * Discards the limits of upstreams that were removed.
   *
   * @param ids identifiers of the removed upstreams
   */
  public void onRemoved(Iterable<String> ids) {
    ids.forEach(states::remove);
  }
}
