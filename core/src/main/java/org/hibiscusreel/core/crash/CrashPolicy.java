package org.hibiscusreel.core.crash;

import org.hibiscusreel.core.forward.AttemptProgress;

/**
 * How much evidence leads to a verdict. Crashes of several upstreams within one episode count once,
 * since they may have a common cause outside of the requests. If so many upstreams crash within one
 * that hardly all of them had requests with a trait by chance, it counts more.
 *
 * @param blockingEvidence sum of the weights of episodes from which a trait may be blocked
 * @param suspicionEvidence sum of the weights of episodes from which a trait is suspected
 * @param startEpisodeMillis duration in milliseconds of an episode that begins with a request whose
 *     answer had not begun, 0 if each crash counts
 * @param answerEpisodeMillis duration in milliseconds of an episode that begins with a request that
 *     was being answered
 * @param oncePerUpstream whether the name of an upstream stands for one run of it
 * @param reportGraceMillis time to wait for the reports of other daemons before a trait is blocked,
 *     in milliseconds
 */
public record CrashPolicy(
    int blockingEvidence,
    int suspicionEvidence,
    long startEpisodeMillis,
    long answerEpisodeMillis,
    boolean oncePerUpstream,
    long reportGraceMillis) {

  private static final int STARTED_WEIGHT = 6;
  private static final int WAITING_WEIGHT = 4;
  private static final int ANSWERING_WEIGHT = 3;

  /** Number of crashes from which an episode has a weight of its own. */
  private static final int MANY_CRASHES = 4;

  /** With one further crash it is enough to block a trait. */
  private static final int MANY_CRASHES_WEIGHT = 2 * STARTED_WEIGHT - WAITING_WEIGHT;

  /** For requests that are known by a fingerprint of their whole content only. */
  public static final CrashPolicy WHOLE_REQUESTS =
      new CrashPolicy(2 * WAITING_WEIGHT, WAITING_WEIGHT, 0, 0, false, 1_000);

  /** For requests that share some of their traits with others. */
  public static final CrashPolicy SHARED_TRAITS =
      new CrashPolicy(2 * STARTED_WEIGHT, STARTED_WEIGHT, 500, 200, true, 100);

  /**
   * Returns the duration of an episode.
   *
   * @param progress how far the upstream had got with the request at the first crash
   * @return the duration in milliseconds
   */
  public long episodeMillis(AttemptProgress progress) {
    return progress.isAnswering() ? answerEpisodeMillis : startEpisodeMillis;
  }

  /**
   * Returns the weight of an episode at which a request was in flight. At most crashes a single
   * request has just been started, while several wait, and many are being answered.
   *
   * @param progress how far the upstream had got with the request
   * @return the weight
   */
  static int weight(AttemptProgress progress) {
    return switch (progress) {
      case STARTED -> STARTED_WEIGHT;
      case WAITING -> WAITING_WEIGHT;
      case ANSWERING -> ANSWERING_WEIGHT;
    };
  }

  /**
   * Returns the weight of an episode.
   *
   * @param strongest how far the upstream had got with the request at the crash that tells most
   * @param unanswered number of upstreams that crashed before a request with the trait was answered
   * @return the weight
   */
  public static int episodeWeight(AttemptProgress strongest, int unanswered) {
    int weight = weight(strongest);
    return unanswered >= MANY_CRASHES ? Math.max(weight, MANY_CRASHES_WEIGHT) : weight;
  }
}
