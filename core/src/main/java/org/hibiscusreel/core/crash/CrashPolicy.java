package org.hibiscusreel.core.crash;

/**
 * How much evidence leads to a verdict. Crashes of several upstreams within one episode count once,
 * since they may have a common cause outside of the requests.
 *
 * @param startedEpisodes episodes at which requests with a trait had just been started, from which
 *     the trait may be blocked
 * @param waitingEpisodes episodes at which requests with a trait were unanswered, from which the
 *     trait may be blocked
 * @param waitingSuspicion episodes at which requests with a trait were unanswered, from which the
 *     trait is suspected
 * @param episodeMillis duration of an episode in milliseconds, 0 if each crash counts
 * @param oncePerUpstream whether the name of an upstream stands for one run of it
 * @param reportGraceMillis time to wait for the reports of other daemons before a trait is blocked,
 *     in milliseconds
 */
public record CrashPolicy(
    int startedEpisodes,
    int waitingEpisodes,
    int waitingSuspicion,
    long episodeMillis,
    boolean oncePerUpstream,
    long reportGraceMillis) {

  /** For requests that are known by a fingerprint of their whole content only. */
  public static final CrashPolicy WHOLE_REQUESTS = new CrashPolicy(2, 2, 1, 0, false, 1_000);

  /**
   * For requests that share some of their traits with others. A request without any byte of a
   * response may not have been started, so that it takes three episodes to be evidence.
   */
  public static final CrashPolicy SHARED_TRAITS = new CrashPolicy(2, 3, 2, 500, true, 100);
}
