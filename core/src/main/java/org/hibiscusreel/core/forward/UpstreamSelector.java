package org.hibiscusreel.core.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hibiscusreel.core.membership.RendezvousHash;

/**
 * Chooses the upstream of a request. It is designed for long prompts, many of which share a prefix:
 * a request with a prompt goes to the upstream with the earliest expected first event, estimated
 * from the pending prefill work of all daemons and the cached prefixes. Prompts with the same
 * prefix prefer the same upstream on every daemon, since prefilling a prefix again also delays
 * other requests. Plain requests go to the least busy upstream; among equally busy ones, an
 * upstream in the daemon's own failure domain is preferred.
 */
public final class UpstreamSelector {

  /**
   * Additional cost of prefilling a token that another upstream has cached. Besides the request
   * itself, whose delay is counted separately, about every second redundant prefill delays a later
   * request.
   */
  public static final double REDUNDANT_PREFILL_WEIGHT = 0.5;

  /**
   * Cost of a running request in tokens: the prefill work that it displaces while the upstream
   * processes a prompt of typical size.
   */
  public static final long TOKENS_PER_RUNNING_REQUEST = 100;

  /**
   * An upstream that may be chosen.
   *
   * @param entry description that the upstream published
   * @param load load and health known from this daemon's own requests
   * @param peerLoad load that the other daemons report
   */
  public record Candidate(UpstreamEntry entry, UpstreamLoad load, PeerLoads.Load peerLoad) {

    /** Returns the requests in progress of all daemons at the upstream. */
    int requests() {
      return load.inFlight() + peerLoad.requests();
    }

    /**
     * Returns the estimated prompt tokens of all daemons that the upstream has not prefilled yet.
     */
    public long pendingPrefillTokens() {
      return load.pendingPrefillTokens() + peerLoad.pendingPrefillTokens();
    }
  }

  /**
   * Result of a choice.
   *
   * @param candidate the chosen upstream
   * @param prefillTokens prompt tokens that it probably does not have cached
   */
  public record Choice(Candidate candidate, long prefillTokens) {}

  private UpstreamSelector() {}

  /**
   * Chooses an upstream.
   *
   * @param candidates upstreams that have not received this request yet
   * @param prompt shape of the prompt, or empty for a plain request
   * @param failureDomain failure domain of this daemon
   * @param nowMillis monotonic time in milliseconds
   * @param random source of random bits
   * @return the choice, or empty if there are no candidates
   */
  public static Optional<Choice> choose(
      List<Candidate> candidates,
      Optional<PromptShape> prompt,
      String failureDomain,
      long nowMillis,
      LongSupplier random) {
    List<Candidate> pool = preferHealthy(candidates, nowMillis);
    if (pool.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        prompt
            .map(p -> chooseSoonest(pool, p))
            .orElseGet(() -> new Choice(chooseLeastBusy(pool, failureDomain, random), 0)));
  }

  /**
   * Chooses the upstream that all daemons choose for a key, whatever its load.
   *
   * @param candidates upstreams that have not received this request yet
   * @param prompt shape of the prompt, or empty for a plain request
   * @param key the key
   * @param nowMillis monotonic time in milliseconds
   * @return the choice, or empty if there are no candidates
   */
  public static Optional<Choice> chooseByKey(
      List<Candidate> candidates, Optional<PromptShape> prompt, String key, long nowMillis) {
    List<Candidate> pool = preferHealthy(candidates, nowMillis);
    return RendezvousHash.rank(pool, c -> c.entry().id(), key).stream()
        .findFirst()
        .map(c -> new Choice(c, prompt.map(p -> uncachedTokens(c, p)).orElse(0L)));
  }

  private static long uncachedTokens(Candidate candidate, PromptShape prompt) {
    long cachedTokens = candidate.load().prefixCache().cachedTokens(prompt);
    return Math.max(0, prompt.promptTokens() - cachedTokens);
  }

  private static List<Candidate> preferHealthy(List<Candidate> candidates, long nowMillis) {
    List<Candidate> healthy =
        candidates.stream().filter(c -> !c.load().isSuspended(nowMillis)).toList();
    return healthy.isEmpty() ? candidates : healthy;
  }

  private static Choice chooseSoonest(List<Candidate> pool, PromptShape prompt) {
    List<Candidate> ranked =
        RendezvousHash.rank(pool, c -> c.entry().id(), prompt.sharedPrefixId());
    Choice best = null;
    double lowestCost = Double.MAX_VALUE;
    for (Candidate c : ranked) {
      // All daemons send this prefix to the first-ranked upstream, so assume that it has it cached.
      boolean isFirstRanked = best == null;
      long cachedTokens =
          isFirstRanked ? prompt.sharedPrefixTokens() : c.load().prefixCache().cachedTokens(prompt);
      double cost = cost(c, prompt, cachedTokens);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = new Choice(c, Math.max(0, prompt.promptTokens() - cachedTokens));
      }
    }
    return best;
  }

  private static double cost(Candidate candidate, PromptShape prompt, long cachedTokens) {
    return candidate.pendingPrefillTokens()
        + (double) TOKENS_PER_RUNNING_REQUEST * candidate.requests()
        + prompt.promptTokens()
        - cachedTokens
        + REDUNDANT_PREFILL_WEIGHT * (prompt.sharedPrefixTokens() - cachedTokens);
  }

  private static Candidate chooseLeastBusy(
      List<Candidate> pool, String failureDomain, LongSupplier random) {
    int start = (int) Math.floorMod(random.getAsLong(), (long) pool.size());
    Comparator<Candidate> order =
        Comparator.comparingInt(Candidate::requests)
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
