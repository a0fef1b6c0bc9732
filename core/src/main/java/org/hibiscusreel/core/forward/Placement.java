package org.hibiscusreel.core.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hibiscusreel.core.membership.Rendezvous;

/**
 * Chooses the upstream of a request. Prompts with the same beginning go to the same upstream on
 * every daemon, since reading a shared beginning again costs more than a short queue; an upstream
 * that holds clearly more requests than the others is passed over. Other requests go to the least
 * busy upstream, the own failure domain first.
 */
public final class Placement {

  /**
   * An upstream takes up to this many times the mean number of requests before a prompt goes to the
   * next one in rank; bounded-load consistent hashing uses 1.25 to 2.
   */
  public static final double MAX_IMBALANCE = 1.5;

  /** Requests that an upstream may always hold, so that small counts don't scatter prompts. */
  public static final int FREE_REQUESTS = 3;

  /**
   * An upstream that may be chosen.
   *
   * @param entry what it says of itself
   * @param load what this daemon knows of it
   */
  public record Candidate(UpstreamEntry entry, UpstreamLoad load) {}

  private Placement() {}

  /**
   * Chooses an upstream.
   *
   * @param candidates upstreams that this request was not sent to yet
   * @param prompt shape of the prompt, or empty for a plain request
   * @param failureDomain failure domain of this daemon
   * @param nowMillis monotonic time in milliseconds
   * @param random source of random bits
   * @return the choice, or empty without candidates
   */
  public static Optional<Candidate> choose(
      List<Candidate> candidates,
      Optional<PromptShape> prompt,
      String failureDomain,
      long nowMillis,
      LongSupplier random) {
    List<Candidate> sound =
        candidates.stream().filter(c -> !c.load().isSuspended(nowMillis)).toList();
    List<Candidate> pool = sound.isEmpty() ? candidates : sound;
    if (pool.isEmpty()) {
      return Optional.empty();
    }
    String key = prompt.map(PromptShape::sharedKey).orElse("");
    return Optional.of(key.isEmpty() ? leastBusy(pool, failureDomain, random) : near(pool, key));
  }

  private static Candidate near(List<Candidate> pool, String key) {
    double mean = pool.stream().mapToInt(c -> c.load().inFlight()).average().orElse(0);
    double bound = Math.max(FREE_REQUESTS, mean * MAX_IMBALANCE);
    List<Candidate> ranked = Rendezvous.rank(pool, c -> c.entry().id(), key);
    return ranked.stream()
        .filter(c -> c.load().inFlight() < bound)
        .findFirst()
        .orElse(ranked.get(0));
  }

  private static Candidate leastBusy(
      List<Candidate> pool, String failureDomain, LongSupplier random) {
    int start = (int) Math.floorMod(random.getAsLong(), (long) pool.size());
    Comparator<Candidate> order =
        Comparator.comparingInt((Candidate c) -> c.load().inFlight())
            .thenComparing(c -> !c.entry().failureDomain().equals(failureDomain));
    Candidate best = pool.get(start);
    for (int i = 1; i < pool.size(); i++) {
      Candidate c = pool.get((start + i) % pool.size());
      if (order.compare(c, best) < 0) {
        best = c;
      }
    }
    return best;
  }
}
