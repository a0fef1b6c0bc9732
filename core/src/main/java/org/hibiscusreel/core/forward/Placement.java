package org.hibiscusreel.core.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hibiscusreel.core.membership.Rendezvous;

/**
 * Chooses the upstream of a request. Answers a load of long prompts, many of which begin alike:
 * each goes where its first event is expected soonest, from the prompts that upstreams still have
 * to read for all daemons and the parts that they keep. Prompts with the same beginning prefer the
 * same upstream on every daemon, since reading a beginning again delays the requests of others too.
 * Other requests go to the least busy upstream, the own failure domain first.
 */
public final class Placement {

  /**
   * Weight of a token that is read although another upstream keeps it. One read in vain delays the
   * request itself, which counts anyway, and about every second time one that follows it.
   */
  public static final double REREAD_WEIGHT = 0.5;

  /**
   * Tokens that an upstream could read in the time that one running request takes from each of its
   * steps, for the length of a prompt of usual size.
   */
  public static final long TOKENS_PER_REQUEST = 100;

  /**
   * An upstream that may be chosen.
   *
   * @param entry what it says of itself
   * @param load what this daemon knows of it
   * @param elsewhere what the other daemons say of it
   */
  public record Candidate(UpstreamEntry entry, UpstreamLoad load, PeerLoads.Load elsewhere) {

    /** Returns the requests of all daemons at the upstream. */
    int requests() {
      return load.inFlight() + elsewhere.requests();
    }

    /** Returns the tokens of prompts that the upstream has still to read for all daemons. */
    long unreadTokens() {
      return load.unreadTokens() + elsewhere.unreadTokens();
    }
  }

  /**
   * The upstream that was chosen.
   *
   * @param candidate the upstream
   * @param tokensToRead tokens of the prompt that it probably does not keep
   */
  public record Choice(Candidate candidate, long tokensToRead) {}

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
  public static Optional<Choice> choose(
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
    return Optional.of(
        prompt
            .map(p -> soonest(pool, p))
            .orElseGet(() -> new Choice(leastBusy(pool, failureDomain, random), 0)));
  }

  private static Choice soonest(List<Candidate> pool, PromptShape prompt) {
    List<Candidate> ranked = Rendezvous.rank(pool, c -> c.entry().id(), prompt.sharedKey());
    Choice best = null;
    double lowest = Double.MAX_VALUE;
    for (Candidate c : ranked) {
      // The first in rank gets this beginning from all daemons, so it keeps it most probably.
      boolean isHome = best == null;
      long kept = isHome ? prompt.sharedTokens() : c.load().memory().kept(prompt);
      double cost = cost(c, prompt, kept);
      if (cost < lowest) {
        lowest = cost;
        best = new Choice(c, Math.max(0, prompt.promptTokens() - kept));
      }
    }
    return best;
  }

  private static double cost(Candidate candidate, PromptShape prompt, long kept) {
    return candidate.unreadTokens()
        + (double) TOKENS_PER_REQUEST * candidate.requests()
        + prompt.promptTokens()
        - kept
        + REREAD_WEIGHT * (prompt.sharedTokens() - kept);
  }

  private static Candidate leastBusy(
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
