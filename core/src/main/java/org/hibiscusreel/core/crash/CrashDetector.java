package org.hibiscusreel.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibiscusreel.core.forward.AttemptProgress;

/**
 * Detects what in requests crashes the upstreams that execute them. A request is known by its
 * traits, such as a fingerprint of its content and the parts of its prompt. The traits that are
 * common to several crashes, and of which no request was answered since, are blocked together:
 * requests with all of them are stopped, and each trait that turns out to be harmless is removed
 * from the set. The reports of several daemons about the same crash are merged into one cohort. Not
 * thread-safe.
 */
public final class CrashDetector {

  /** Time for which a crash is remembered, in milliseconds. */
  public static final long RETENTION_MILLIS = 600_000;

  /** Time for which traits stay blocked after the last request with them, in milliseconds. */
  public static final long BLOCK_MILLIS = 86_400_000;

  /**
   * Interval in milliseconds at which one request with blocked traits is let through, so that a
   * wrong verdict does not last.
   */
  public static final long TRIAL_INTERVAL_MILLIS = 600_000;

  /**
   * Time after a crash from which bytes of the upstream refute it, in milliseconds. Bytes that it
   * sent before may arrive a little later than the report of another daemon.
   */
  public static final long LIFE_SIGN_DELAY_MILLIS = 100;

  /** Time that an upstream takes at least to start again, in milliseconds. */
  public static final long SHORTEST_RESTART_MILLIS = 1_000;

  /** Age up to which a crash is evaluated again when reports of it may arrive, in milliseconds. */
  private static final long EVALUATION_MILLIS = 5_000;

  /** Number of further crashes from which the cause of all of them outweighs that of some. */
  private static final int OUTWEIGHING_CRASHES = 2;

  private static final int MAX_BLOCKS = 500;
  private static final int MAX_CLEARANCES = 2_000;

  /**
   * Request that an upstream had not answered completely when it crashed.
   *
   * @param traits traits of the request
   * @param progress how far the upstream had got with the request
   * @param upstream upstream that crashed
   * @param atMillis time of the crash in milliseconds
   */
  public record Sighting(
      Set<String> traits, AttemptProgress progress, String upstream, long atMillis) {

    /** Copies the set. */
    public Sighting {
      traits = Set.copyOf(traits);
    }
  }

  /** Verdict on whether a request may be dispatched. */
  public enum Verdict {
    /** The request is not suspected. */
    CLEAR,
    /** The request was in flight at crashes; it must not share an upstream with another suspect. */
    SUSPECT,
    /** The request was in flight at several crashes, and the cause is not known yet. */
    UNDECIDED,
    /** The request is the cause of a crash. */
    BLOCKED
  }

  private static final class BlockState {
    long lastRequestAtMillis;
    long lastTrialAtMillis;

    BlockState(long atMillis) {
      this.lastRequestAtMillis = atMillis;
      this.lastTrialAtMillis = atMillis;
    }
  }

  private final CrashPolicy policy;
  private final CrashRecords crashes;
  private final Map<Set<String>, BlockState> blocks = new LinkedHashMap<>();
  private final Map<String, Clearance> clearances = new LinkedHashMap<>();

  /**
   * Creates a detector without evidence.
   *
   * @param policy how much evidence leads to a verdict
   * @throws NullPointerException if the argument is null
   */
  public CrashDetector(CrashPolicy policy) {
    this.policy = Objects.requireNonNull(policy, "policy");
    this.crashes = new CrashRecords(policy.oncePerUpstream());
  }

  /**
   * Tells whether there is neither evidence nor a verdict, so that each request is clear.
   *
   * @return true if nothing is known
   */
  public boolean isIdle() {
    return crashes.isEmpty() && blocks.isEmpty();
  }

  /**
   * Records a crash that this daemon observed, of requests that are known by one trait each.
   *
   * @param upstream the upstream
   * @param inFlight traits of the requests that it was executing for this daemon
   * @param alone whether it is known that it was executing no other requests
   * @param atMillis time in milliseconds
   * @return the sightings to report to the other daemons
   */
  public List<Sighting> onCrash(
      String upstream, Set<String> inFlight, boolean alone, long atMillis) {
    List<Sighting> result = new ArrayList<>();
    for (String t : inFlight) {
      result.add(new Sighting(Set.of(t), AttemptProgress.WAITING, upstream, atMillis));
    }
    onReport(result);
    if (alone && inFlight.size() == 1) {
      block(Set.copyOf(inFlight), atMillis);
    }
    return result;
  }

  /**
   * Records a request that this daemon saw broken off.
   *
   * @param sighting the request
   */
  public void onCrash(Sighting sighting) {
    crashes.add(sighting).reinstate();
    onReport(List.of(sighting));
  }

  /**
   * Processes sightings of this or another daemon. A sighting may be passed repeatedly.
   *
   * @param sightings the sightings
   */
  public void onReport(Collection<Sighting> sightings) {
    for (Sighting s : sightings) {
      explain(crashes.add(s));
      blocks.forEach(
          (traits, state) -> {
            if (s.traits().containsAll(traits)) {
              state.lastTrialAtMillis = Math.max(state.lastTrialAtMillis, s.atMillis());
            }
          });
    }
  }

  /** A crash that blocked traits caused is no evidence against other traits. */
  private void explain(Crash crash) {
    crash.explainBy(
        blocks.keySet().stream().filter(crash::involvesAll).findFirst().orElse(Set.of()));
  }

  /**
   * Withdraws the crash of an upstream from which bytes arrived after it. Reports of it that come
   * later count no more.
   *
   * @param upstream the upstream
   * @param sentAtMillis time at which the request that it answers was sent; a request that was sent
   *     long after the crash shows only that the upstream was started again
   * @param nowMillis time in milliseconds
   * @return true if a crash was withdrawn
   */
  public boolean onAlive(String upstream, long sentAtMillis, long nowMillis) {
    return crashes.withdraw(
        c ->
            c.upstream().equals(upstream)
                && nowMillis - c.atMillis() >= LIFE_SIGN_DELAY_MILLIS
                && sentAtMillis - c.atMillis() < SHORTEST_RESTART_MILLIS);
  }

  /**
   * Tells whether a crash of the upstream is known.
   *
   * @param upstream the upstream
   * @return true if it crashed and the crash was not withdrawn
   */
  public boolean hasCrashed(String upstream) {
    return crashes.stream().anyMatch(c -> c.upstream().equals(upstream));
  }

  /**
   * Records that a request was dispatched, which may be the trial of blocked traits.
   *
   * @param traits traits of the request
   * @param nowMillis time in milliseconds
   */
  public void onDispatched(Set<String> traits, long nowMillis) {
    blocks.forEach(
        (blocked, state) -> {
          if (traits.containsAll(blocked)) {
            state.lastTrialAtMillis = nowMillis;
          }
        });
  }

  /**
   * Returns the verdict on a request.
   *
   * @param traits traits of the request
   * @param nowMillis time in milliseconds
   * @return the verdict
   */
  public Verdict judge(Set<String> traits, long nowMillis) {
    expire(nowMillis);
    Verdict worst = judgeBlocks(traits, nowMillis);
    for (String t : traits) {
      if (worst != Verdict.BLOCKED) {
        Verdict v = judgeEvidence(t, traits, nowMillis);
        worst = v.compareTo(worst) > 0 ? v : worst;
      }
    }
    return worst;
  }

  private Verdict judgeBlocks(Set<String> traits, long nowMillis) {
    Verdict worst = Verdict.CLEAR;
    for (Map.Entry<Set<String>, BlockState> e : blocks.entrySet()) {
      if (traits.containsAll(e.getKey())) {
        BlockState state = e.getValue();
        state.lastRequestAtMillis = nowMillis;
        if (nowMillis - state.lastTrialAtMillis < TRIAL_INTERVAL_MILLIS) {
          return Verdict.BLOCKED;
        }
        worst = Verdict.SUSPECT;
      }
    }
    return worst;
  }

  private Verdict judgeEvidence(String trait, Set<String> traits, long nowMillis) {
    List<Crash> involving = crashes.stream().filter(c -> isInvolved(c, trait)).toList();
    if (involving.isEmpty()) {
      return Verdict.CLEAR;
    }
    List<Crash> unexplained =
        involving.stream().filter(c -> isUnexplained(c, trait, involving)).toList();
    if (evidence(unexplained, trait) < policy.blockingEvidence()) {
      boolean isSuspect = evidence(involving, trait) >= policy.suspicionEvidence();
      return isSuspect ? Verdict.SUSPECT : Verdict.CLEAR;
    }
    long newestMillis = unexplained.stream().mapToLong(Crash::atMillis).max().orElse(0);
    if (newestMillis + policy.reportGraceMillis() > nowMillis) {
      return Verdict.UNDECIDED;
    }
    List<Crash> started = unexplained.stream().filter(c -> c.isStarted(trait)).toList();
    boolean isStartedEnough = evidence(started, trait) >= policy.blockingEvidence();
    Set<String> common = commonTraits(isStartedEnough ? started : unexplained);
    block(common, nowMillis);
    clearOutweighed(common, nowMillis);
    return traits.containsAll(common) ? Verdict.BLOCKED : Verdict.SUSPECT;
  }

  private boolean isInvolved(Crash crash, String trait) {
    if (!crash.involves(trait)) {
      return false;
    }
    Clearance c = clearances.get(trait);
    return c == null || crash.atMillis() > c.atMillis();
  }

  private boolean isUnexplained(Crash crash, String trait, List<Crash> involving) {
    return crash.explanation().isEmpty()
        || crash.explanation().contains(trait)
        || outweighs(
            involving,
            crashes.stream().filter(c -> c.explanation().equals(crash.explanation())).toList());
  }

  /** Returns whether crashes include all others that were explained otherwise, and more. */
  private static boolean outweighs(List<Crash> list, List<Crash> explained) {
    return list.size() >= explained.size() + OUTWEIGHING_CRASHES && list.containsAll(explained);
  }

  /** Returns the sum of the weights of the episodes in which upstreams crashed. */
  private int evidence(List<Crash> list, String trait) {
    int sum = 0;
    int weight = 0;
    int unanswered = 0;
    long endsAtMillis = Long.MIN_VALUE;
    for (Crash c : list.stream().sorted(Comparator.comparingLong(Crash::atMillis)).toList()) {
      AttemptProgress progress = c.progress(trait).orElseThrow();
      if (c.atMillis() >= endsAtMillis) {
        sum += weight;
        weight = 0;
        unanswered = 0;
        endsAtMillis = c.atMillis() + policy.episodeMillis(progress);
      }
      unanswered += progress.isAnswering() ? 0 : 1;
      weight = Math.max(weight, CrashPolicy.episodeWeight(progress, unanswered));
    }
    return sum + weight;
  }

  private Set<String> commonTraits(List<Crash> list) {
    Set<String> common = new HashSet<>(list.get(0).cohort());
    list.forEach(c -> common.removeIf(t -> !isInvolved(c, t)));
    return common;
  }

  /**
   * Blocks the traits that the evidence of recent crashes proves to crash upstreams.
   *
   * @param nowMillis time in milliseconds
   * @return true if there is a new block
   */
  public boolean blockProven(long nowMillis) {
    expire(nowMillis);
    Set<String> suspects = new HashSet<>();
    crashes.stream()
        .filter(c -> nowMillis - c.atMillis() < EVALUATION_MILLIS)
        .forEach(c -> suspects.addAll(c.cohort()));
    Set<Set<String>> before = Set.copyOf(blocks.keySet());
    suspects.forEach(t -> judgeEvidence(t, Set.of(t), nowMillis));
    return !before.containsAll(blocks.keySet());
  }

  private void block(Set<String> traits, long atMillis) {
    if (traits.isEmpty() || blocks.keySet().stream().anyMatch(traits::containsAll)) {
      return;
    }
    Set<String> block = Set.copyOf(traits);
    blocks.keySet().removeIf(b -> b.containsAll(block));
    blocks.put(block, new BlockState(atMillis));
    trim(blocks.keySet(), MAX_BLOCKS);
    crashes.stream()
        .filter(c -> c.explanation().isEmpty() && c.involvesAll(block))
        .forEach(c -> c.explainBy(block));
    explainAgain();
  }

  /**
   * Clears the blocks all of whose crashes are those of another block, which has more. Traits of
   * sound requests get blocked if these are broken off several times by the same cause.
   */
  private void clearOutweighed(Set<String> block, long nowMillis) {
    List<Crash> involving = crashes.stream().filter(c -> c.involvesAll(block)).toList();
    Set<String> outweighed = new HashSet<>();
    for (Set<String> other : blocks.keySet()) {
      if (outweighs(involving, crashes.stream().filter(c -> c.involvesAll(other)).toList())) {
        outweighed.addAll(other);
      }
    }
    outweighed.removeAll(block);
    outweighed.forEach(t -> clear(new Clearance(t, epoch(t) + 1, nowMillis)));
  }

  /** Finds new explanations for the crashes whose block is gone. */
  private void explainAgain() {
    crashes.stream()
        .filter(c -> !c.explanation().isEmpty() && !blocks.containsKey(c.explanation()))
        .forEach(this::explain);
  }

  private static void trim(Set<?> keys, int limit) {
    Iterator<?> oldest = keys.iterator();
    while (keys.size() > limit) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Tells whether the reports of all known crashes had time to arrive.
   *
   * @param nowMillis time in milliseconds
   * @return true if no crash is so recent that a verdict has to wait
   */
  public boolean isSettled(long nowMillis) {
    return crashes.stream().allMatch(c -> c.atMillis() + policy.reportGraceMillis() <= nowMillis);
  }

  /**
   * Clears the traits of a request that an upstream answered, since a request that causes a crash
   * is not answered.
   *
   * @param traits traits of the request
   * @param nowMillis time in milliseconds
   * @return traits that had been under suspicion, to be told to the other daemons
   */
  public List<Clearance> onCompleted(Set<String> traits, long nowMillis) {
    List<Clearance> changed = new ArrayList<>();
    for (String t : traits) {
      boolean isSuspect =
          blocks.keySet().stream().anyMatch(b -> b.contains(t))
              || crashes.stream().anyMatch(c -> isInvolved(c, t));
      if (isSuspect) {
        changed.add(new Clearance(t, epoch(t) + 1, nowMillis));
      }
    }
    changed.forEach(this::clear);
    return changed;
  }

  private long epoch(String trait) {
    Clearance c = clearances.get(trait);
    return c == null ? 0 : c.epoch();
  }

  private void clear(Clearance clearance) {
    clearances.remove(clearance.trait());
    clearances.put(clearance.trait(), clearance);
    trim(clearances.keySet(), MAX_CLEARANCES);
    List<Set<String>> affected =
        blocks.keySet().stream().filter(b -> b.contains(clearance.trait())).toList();
    for (Set<String> b : affected) {
      BlockState state = blocks.remove(b);
      Set<String> rest = new HashSet<>(b);
      rest.remove(clearance.trait());
      block(rest, state.lastRequestAtMillis);
    }
    explainAgain();
  }

  /**
   * Processes a clearance of another daemon, which may be late or repeated.
   *
   * @param clearance the clearance
   */
  public void onClearance(Clearance clearance) {
    if (clearance.epoch() > epoch(clearance.trait())) {
      clear(clearance);
    }
  }

  /**
   * Processes a block of another daemon, which may be late or repeated. Traits that were cleared
   * since are left out.
   *
   * @param block the block
   * @param nowMillis time in milliseconds
   * @return true if there is a new block
   */
  public boolean onBlock(Block block, long nowMillis) {
    Set<String> traits = new HashSet<>();
    block
        .epochs()
        .forEach(
            (t, epoch) -> {
              if (epoch >= epoch(t)) {
                traits.add(t);
              }
            });
    boolean isKnown = blocks.containsKey(traits);
    block(traits, nowMillis);
    return !isKnown && blocks.containsKey(traits);
  }

  /**
   * Returns the blocks in force.
   *
   * @param nowMillis time in milliseconds
   * @return the blocks, those with the most recent requests first
   */
  public List<Block> blocks(long nowMillis) {
    expire(nowMillis);
    return blocks.entrySet().stream()
        .sorted(Comparator.comparingLong(e -> -e.getValue().lastRequestAtMillis))
        .map(e -> new Block(e.getKey().stream().collect(Collectors.toMap(t -> t, this::epoch))))
        .toList();
  }

  /**
   * Returns the clearances that another daemon needs to know.
   *
   * @return the clearances
   */
  public List<Clearance> clearances() {
    return List.copyOf(clearances.values());
  }

  /**
   * Returns the traits of a request that are suspected or blocked by themselves.
   *
   * @param traits traits of the request
   * @param nowMillis time in milliseconds
   * @return the traits
   */
  public Set<String> suspectTraits(Set<String> traits, long nowMillis) {
    Set<String> result = new HashSet<>();
    for (String t : traits) {
      if (judgeEvidence(t, Set.of(t), nowMillis) != Verdict.CLEAR
          || blocks.keySet().stream().anyMatch(b -> b.contains(t))) {
        result.add(t);
      }
    }
    return result;
  }

  /**
   * Returns what the evidence against a request has in common, so that all daemons can send
   * suspects of the same crashes to the same upstream.
   *
   * @param traits traits of the request
   * @return the traits common to the crashes that involve the request, or empty if there are none
   */
  public Optional<Set<String>> commonEvidence(Set<String> traits) {
    List<Crash> involving =
        crashes.stream().filter(c -> traits.stream().anyMatch(t -> isInvolved(c, t))).toList();
    return involving.isEmpty() ? Optional.empty() : Optional.of(commonTraits(involving));
  }

  /** Returns the number of traits and sets of traits that are stored. */
  int storedEntries() {
    return crashes.traitCount() + blocks.size() + clearances.size();
  }

  private void expire(long nowMillis) {
    crashes.removeBefore(nowMillis - RETENTION_MILLIS);
    blocks.values().removeIf(b -> b.lastRequestAtMillis + BLOCK_MILLIS < nowMillis);
    clearances.values().removeIf(c -> c.atMillis() + RETENTION_MILLIS < nowMillis);
  }
}
