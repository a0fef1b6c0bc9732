package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.crash.Block;
import org.hibiscusreel.core.crash.Clearance;
import org.hibiscusreel.core.crash.CrashDetector;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;
import org.hibiscusreel.core.crash.CrashDetector.Verdict;
import org.hibiscusreel.core.crash.CrashPolicy;
import org.hibiscusreel.core.crash.CrashReport;
import org.hibiscusreel.core.crash.RequestTraits;
import org.hibiscusreel.core.forward.AttemptProgress;
import org.hibiscusreel.core.forward.UpstreamEntry;

/**
 * Detects requests that crash upstreams, together with the other daemons. What this daemon saw is
 * reported at once and a few times more; what is blocked is repeated for daemons that have missed
 * it, and a daemon that starts asks the others for it. Used only on the event loop thread.
 */
public final class UpstreamCrashes {

  /** Delay in milliseconds in which sightings are collected into one report. */
  static final long REPORT_DELAY_MILLIS = 15;

  /** Interval in milliseconds at which new sightings are reported again. */
  static final long SIGHTING_REPEAT_MILLIS = 200;

  /** Time for which a sighting is reported, in milliseconds. */
  static final long SIGHTING_REPORT_MILLIS = 700;

  /** Shortest interval in milliseconds at which blocks and clearances are repeated. */
  static final long BLOCK_REPEAT_MILLIS = 1_000;

  /** Datagrams per second that one daemon sends to all others to repeat blocks. */
  static final long MAX_REPEATS_PER_SECOND = 20;

  /** Interval in milliseconds at which a daemon that has started asks the others. */
  static final long QUESTION_INTERVAL_MILLIS = 200;

  /** Number of times that a daemon asks before it goes on without an answer. */
  static final int MAX_QUESTIONS = 5;

  /** Longest time in milliseconds that a daemon waits for what the others know. */
  static final long MAX_UNINFORMED_MILLIS = 2_000;

  /** Interval in milliseconds at which a suspect that has to wait is judged again. */
  static final long SUSPECT_POLL_MILLIS = 50;

  /** Longest wait of a suspect in milliseconds; the reports of a crash arrive within it. */
  static final long MAX_SUSPECT_WAIT_MILLIS = 500;

  /** Largest number of traits in each part of a report, so that it fits into a datagram. */
  static final int MAX_REPORTED_TRAITS = 60;

  /** Largest number of datagrams that are sent to one daemon at a time. */
  static final int MAX_DATAGRAMS = 4;

  /** Age in milliseconds up to which all clearances are repeated, not only the newest. */
  static final long CLEARANCE_REPORT_MILLIS = 2_500;

  private static final List<AttemptProgress> REPORT_ORDER =
      List.of(AttemptProgress.STARTED, AttemptProgress.ANSWERING, AttemptProgress.WAITING);

  private static final int MAX_LOGGED_BLOCKS = 10;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** Whether a request may be dispatched. */
  sealed interface Admission {

    /** Returns the suspect to release after the dispatch, empty if there is none. */
    default Optional<Suspect> suspect() {
      return this instanceof Suspect s ? Optional.of(s) : Optional.empty();
    }

    /** The request may be dispatched. */
    record Free() implements Admission {}

    /**
     * The request may be dispatched as the only one with these traits, to the upstream that all
     * daemons choose for its key. It must be released afterwards.
     *
     * @param traits the suspected traits
     * @param placementKey key from which the upstream is chosen
     */
    record Suspect(Set<String> traits, String placementKey) implements Admission {}

    /** The cause of recent crashes is being found out; ask again soon. */
    record Later() implements Admission {}

    /** The request crashes upstreams. */
    record Refused() implements Admission {}
  }

  private final CrashDetector detector = new CrashDetector(CrashPolicy.SHARED_TRAITS);
  private final List<Sighting> ownSightings = new ArrayList<>();
  private final Set<String> traitsInFlight = new HashSet<>();
  private final Scheduler scheduler;
  private final CrashTransport transport;
  private final String address;
  private final DecisionLog log;
  private List<String> peers = List.of();
  private Runnable blockListener = () -> {};
  private boolean peersKnown;
  private boolean isReportScheduled;
  private boolean isEvaluationScheduled;
  private boolean isInformed;
  private boolean stopped;
  private int questions;
  private long blocksSentAtMillis;

  /**
   * Creates a monitor without evidence.
   *
   * @param scheduler clock and delayed tasks
   * @param transport sends and receives the reports
   * @param address address at which this daemon receives reports
   * @param log receives each change of what is known
   * @throws NullPointerException if an argument is null
   */
  public UpstreamCrashes(
      Scheduler scheduler, CrashTransport transport, String address, DecisionLog log) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.address = Objects.requireNonNull(address, "address");
    this.log = Objects.requireNonNull(log, "log");
  }

  /** Starts to receive reports and to repeat what is known. */
  public void start() {
    transport.receiveCrashes(this::onReport);
    scheduler.schedule(BLOCK_REPEAT_MILLIS, this::repeatBlocks);
    scheduler.schedule(MAX_UNINFORMED_MILLIS, () -> isInformed = true);
  }

  /** Stops sending reports. */
  public void stop() {
    stopped = true;
  }

  /**
   * Sets the addresses of the other daemons. The first call starts to ask them what they know.
   *
   * @param addresses addresses at which they receive reports
   */
  public void onPeers(List<String> addresses) {
    peers = List.copyOf(addresses);
    if (!peersKnown) {
      peersKnown = true;
      ask();
    }
  }

  /**
   * Tells whether the others have told what they know, or had time to.
   *
   * @return true if requests may be dispatched
   */
  public boolean isInformed() {
    return isInformed;
  }

  /**
   * Returns the number of blocks in force.
   *
   * @return 0 or more
   */
  public int blockCount() {
    return detector.blocks(scheduler.nowMillis()).size();
  }

  /** Sets what is called after a new block. */
  void onNewBlock(Runnable listener) {
    blockListener = listener;
  }

  private void ask() {
    if (stopped || isInformed) {
      return;
    }
    if (peers.isEmpty() || questions == MAX_QUESTIONS) {
      isInformed = true;
      return;
    }
    questions++;
    transport.sendCrashes(peers, new CrashReport(address, List.of(), List.of(), List.of()));
    scheduler.schedule(QUESTION_INTERVAL_MILLIS, this::ask);
  }

  /**
   * Decides whether a request may be dispatched.
   *
   * @param traits supplies the traits, called only while something is known
   */
  Admission admit(Supplier<Set<String>> traits) {
    if (detector.isIdle()) {
      return new Admission.Free();
    }
    Set<String> all = withAnswer(traits.get());
    long now = scheduler.nowMillis();
    return switch (detector.judge(all, now)) {
      case CLEAR -> new Admission.Free();
      case UNDECIDED -> new Admission.Later();
      case BLOCKED -> new Admission.Refused();
      case SUSPECT -> admitSuspect(all, now);
    };
  }

  /**
   * Decides whether a request whose stream has begun may go on at another upstream. A suspect goes
   * on at once, since its caller would notice a pause and most of the streams that a crash breaks
   * are not its cause.
   *
   * @param traits supplies the traits, called only while something is known
   */
  Admission admitResumed(Supplier<Set<String>> traits) {
    if (detector.isIdle()) {
      return new Admission.Free();
    }
    return switch (detector.judge(withAnswer(traits.get()), scheduler.nowMillis())) {
      case CLEAR, SUSPECT -> new Admission.Free();
      case UNDECIDED -> new Admission.Later();
      case BLOCKED -> new Admission.Refused();
    };
  }

  private static Set<String> withAnswer(Set<String> traits) {
    Set<String> result = new HashSet<>(traits);
    result.addAll(RequestTraits.ofAnswer(traits));
    return result;
  }

  private Admission admitSuspect(Set<String> traits, long nowMillis) {
    Set<String> suspects = detector.suspectTraits(traits, nowMillis);
    if (suspects.stream().anyMatch(traitsInFlight::contains)) {
      return new Admission.Later();
    }
    traitsInFlight.addAll(suspects);
    detector.onDispatched(traits, nowMillis);
    Set<String> common = detector.commonEvidence(traits).orElse(Set.of());
    return new Admission.Suspect(suspects, String.join(",", new TreeSet<>(common)));
  }

  /** Ends the dispatch of a suspect. */
  void release(Admission.Suspect suspect) {
    traitsInFlight.removeAll(suspect.traits());
  }

  /** Tells whether a request is blocked, without admitting it. */
  boolean isBlocked(Supplier<Set<String>> traits) {
    return !detector.isIdle()
        && detector.judge(withAnswer(traits.get()), scheduler.nowMillis()) == Verdict.BLOCKED;
  }

  /** Tells whether a request may be dispatched like any other, without admitting it. */
  boolean isClear(Supplier<Set<String>> traits) {
    return detector.isIdle()
        || detector.judge(withAnswer(traits.get()), scheduler.nowMillis()) == Verdict.CLEAR;
  }

  /** Tells whether the upstream is known to have ended. */
  boolean hasCrashed(UpstreamEntry upstream) {
    return detector.hasCrashed(toKey(upstream));
  }

  private static String toKey(UpstreamEntry upstream) {
    return upstream.id() + "@" + upstream.startedAtMillis();
  }

  /** Records that the connection of a request that was not answered completely was closed. */
  void onBroken(UpstreamEntry upstream, Set<String> traits, AttemptProgress progress) {
    boolean isNew = !detector.hasCrashed(toKey(upstream));
    if (progress != AttemptProgress.ANSWERING) {
      addSighting(upstream, traits, progress);
    }
    if (progress != AttemptProgress.WAITING) {
      // The first bytes of an answer may be lost with the connection.
      addSighting(upstream, RequestTraits.ofAnswer(traits), AttemptProgress.ANSWERING);
    }
    if (isNew || progress == AttemptProgress.STARTED) {
      log.record(
          "upstream_broke",
          Map.of(
              "upstream",
              upstream.id(),
              "progress",
              progress.name(),
              "traits",
              List.copyOf(new TreeSet<>(traits))));
    }
    scheduleReport(REPORT_DELAY_MILLIS);
    scheduleEvaluation();
  }

  private void addSighting(UpstreamEntry upstream, Set<String> traits, AttemptProgress progress) {
    Sighting s = new Sighting(traits, progress, toKey(upstream), scheduler.nowMillis());
    detector.onCrash(s);
    ownSightings.add(s);
  }

  /** Records that bytes of a response arrived. */
  void onAlive(UpstreamEntry upstream, long sentAtMillis) {
    if (detector.isIdle()) {
      return;
    }
    String key = toKey(upstream);
    if (detector.onAlive(key, sentAtMillis, scheduler.nowMillis())) {
      ownSightings.removeIf(s -> s.upstream().equals(key));
      log.record("upstream_survived", Map.of("upstream", upstream.id()));
    }
  }

  /** Records that an upstream began to answer a request. */
  void onBegun(Supplier<Set<String>> traits) {
    if (!detector.isIdle()) {
      clear(traits.get());
    }
  }

  /** Records that an upstream answered a request completely. */
  void onCompleted(Supplier<Set<String>> traits) {
    if (!detector.isIdle()) {
      clear(withAnswer(traits.get()));
    }
  }

  private void clear(Set<String> traits) {
    List<Clearance> cleared = detector.onCompleted(traits, scheduler.nowMillis());
    if (!cleared.isEmpty()) {
      log.record(
          "crash_suspects_cleared",
          Map.of("traits", cleared.stream().map(Clearance::trait).sorted().toList()));
      scheduleReport(REPORT_DELAY_MILLIS);
      scheduleEvaluation();
    }
  }

  private void scheduleEvaluation() {
    if (!isEvaluationScheduled) {
      isEvaluationScheduled = true;
      scheduler.schedule(CrashPolicy.SHARED_TRAITS.reportGraceMillis(), this::evaluate);
    }
  }

  private void evaluate() {
    isEvaluationScheduled = false;
    if (!detector.isSettled(scheduler.nowMillis())) {
      scheduleEvaluation();
    }
    if (detector.blockProven(scheduler.nowMillis())) {
      onBlocked("own evidence");
      scheduleReport(REPORT_DELAY_MILLIS);
    }
  }

  private void onBlocked(String source) {
    List<String> sets =
        detector.blocks(scheduler.nowMillis()).stream()
            .limit(MAX_LOGGED_BLOCKS)
            .map(b -> String.join(" ", new TreeSet<>(b.epochs().keySet())))
            .sorted()
            .toList();
    log.record("crash_traits_blocked", Map.of("blocks", sets, "source", source));
    blockListener.run();
  }

  private void scheduleReport(long delayMillis) {
    if (!isReportScheduled) {
      isReportScheduled = true;
      scheduler.schedule(delayMillis, this::sendReport);
    }
  }

  private void sendReport() {
    isReportScheduled = false;
    if (stopped) {
      return;
    }
    long now = scheduler.nowMillis();
    ownSightings.removeIf(s -> now - s.atMillis() > SIGHTING_REPORT_MILLIS);
    send(peers, ownSightings);
    if (!ownSightings.isEmpty()) {
      scheduleReport(SIGHTING_REPEAT_MILLIS);
    }
  }

  private void repeatBlocks() {
    if (stopped) {
      return;
    }
    long interval =
        Math.max(BLOCK_REPEAT_MILLIS, MILLIS_PER_SECOND * peers.size() / MAX_REPEATS_PER_SECOND);
    if (scheduler.nowMillis() - blocksSentAtMillis >= interval) {
      send(peers, List.of());
    }
    scheduler.schedule(BLOCK_REPEAT_MILLIS, this::repeatBlocks);
  }

  private void send(List<String> receivers, List<Sighting> sightings) {
    long now = scheduler.nowMillis();
    blocksSentAtMillis = now;
    List<List<Sighting>> sightingParts = toParts(sightings, now);
    List<List<Clearance>> clearanceParts = clearancesToReport(now);
    for (int i = 0; i < Math.max(sightingParts.size(), clearanceParts.size()); i++) {
      CrashReport report =
          new CrashReport(
              "",
              i < sightingParts.size() ? sightingParts.get(i) : List.of(),
              i == 0 ? blocksToReport(now) : List.of(),
              i < clearanceParts.size() ? clearanceParts.get(i) : List.of());
      if (!report.isEmpty()) {
        transport.sendCrashes(receivers, report);
      }
    }
  }

  /**
   * Divides sightings into parts that fit into a datagram each, at least one, with ages in place of
   * times. What was just started comes first, as the strongest evidence.
   */
  private static List<List<Sighting>> toParts(List<Sighting> sightings, long nowMillis) {
    List<Sighting> ordered = new ArrayList<>(sightings);
    ordered.sort(Comparator.comparingInt(s -> REPORT_ORDER.indexOf(s.progress())));
    List<List<Sighting>> parts = new ArrayList<>();
    List<Sighting> part = new ArrayList<>();
    int traits = 0;
    for (Sighting s : ordered) {
      if (!part.isEmpty() && traits + s.traits().size() > MAX_REPORTED_TRAITS) {
        parts.add(part);
        part = new ArrayList<>();
        traits = 0;
      }
      part.add(new Sighting(s.traits(), s.progress(), s.upstream(), nowMillis - s.atMillis()));
      traits += s.traits().size();
    }
    parts.add(part);
    return parts.subList(0, Math.min(parts.size(), MAX_DATAGRAMS));
  }

  /**
   * Returns the newest clearances, in parts that fit into a datagram each. One part is repeated for
   * daemons that were frozen or cut off, further ones only while a lost report may be missed.
   */
  private List<List<Clearance>> clearancesToReport(long nowMillis) {
    List<Clearance> newestFirst = new ArrayList<>(detector.clearances());
    Collections.reverse(newestFirst);
    List<Clearance> aged =
        newestFirst.stream()
            .map(c -> new Clearance(c.trait(), c.epoch(), nowMillis - c.atMillis()))
            .toList();
    List<List<Clearance>> parts = new ArrayList<>();
    for (int from = 0; from < aged.size(); from += MAX_REPORTED_TRAITS) {
      boolean isNeeded = from == 0 || aged.get(from).atMillis() <= CLEARANCE_REPORT_MILLIS;
      if (isNeeded && parts.size() < MAX_DATAGRAMS) {
        parts.add(aged.subList(from, Math.min(aged.size(), from + MAX_REPORTED_TRAITS)));
      }
    }
    return parts;
  }

  private List<Block> blocksToReport(long nowMillis) {
    List<Block> result = new ArrayList<>();
    int traits = 0;
    for (Block b : detector.blocks(nowMillis)) {
      traits += b.epochs().size();
      if (traits <= MAX_REPORTED_TRAITS) {
        result.add(b);
      }
    }
    return result;
  }

  private void onReport(CrashReport report) {
    long now = scheduler.nowMillis();
    if (!report.replyTo().isEmpty()) {
      reply(report.replyTo());
      return;
    }
    isInformed = true;
    report
        .clearances()
        .forEach(
            c -> detector.onClearance(new Clearance(c.trait(), c.epoch(), now - c.atMillis())));
    detector.onReport(
        report.sightings().stream()
            .map(s -> new Sighting(s.traits(), s.progress(), s.upstream(), now - s.atMillis()))
            .toList());
    boolean hasNewBlock = false;
    for (Block b : report.blocks()) {
      hasNewBlock |= detector.onBlock(b, now);
    }
    if (hasNewBlock) {
      onBlocked("another daemon");
    }
    if (!report.sightings().isEmpty() || !report.clearances().isEmpty()) {
      scheduleEvaluation();
    }
  }

  private void reply(String receiver) {
    long now = scheduler.nowMillis();
    List<Clearance> clearances = clearancesToReport(now).stream().findFirst().orElse(List.of());
    transport.sendCrashes(
        List.of(receiver), new CrashReport("", List.of(), blocksToReport(now), clearances));
  }
}
