package org.hibiscusreel.coordination.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.crash.CrashDetector;
import org.hibiscusreel.core.crash.CrashDetector.Sighting;
import org.hibiscusreel.core.crash.CrashDetector.Verdict;
import org.hibiscusreel.core.crash.CrashPolicy;
import org.hibiscusreel.core.forward.AttemptProgress;
import org.hibiscusreel.wire.CrashEntry;
import org.hibiscusreel.wire.CrashReport;
import org.hibiscusreel.wire.CrashReportResponse;

/**
 * Detects crashes of engines and shares the fingerprints of the requests with the failure domain.
 */
final class CrashMonitor {
  private static final long REPORT_TIMEOUT_MILLIS = 1_000;

  /**
   * Breaks of several engines within this time, in milliseconds, are treated as a link failure,
   * unless a request of one engine was retried at the other.
   */
  private static final long LINK_FAILURE_WINDOW_MILLIS = 500;

  /**
   * Streams of one engine that break within this time, in milliseconds, were executing together.
   */
  private static final long SAME_BREAK_WINDOW_MILLIS = 5_000;

  private static final long MAX_LOAD_REPORT_AGE_MILLIS = 3_000;
  private static final int MAX_ENTRIES = 1_000;
  private static final Pattern HEX = Pattern.compile("([0-9a-f]{2})*");

  /** State of an engine at the time when its first stream broke. */
  private static final class StreamBreak {
    final long brokeAtMillis;
    final Set<String> fingerprints;
    final boolean ranAlone;
    boolean reported;

    StreamBreak(long brokeAtMillis, Set<String> fingerprints, boolean ranAlone) {
      this.brokeAtMillis = brokeAtMillis;
      this.fingerprints = fingerprints;
      this.ranAlone = ranAlone;
    }
  }

  private final CrashDetector fingerprints = new CrashDetector(CrashPolicy.WHOLE_REQUESTS);
  private final Map<String, StreamBreak> lastBreaks = new HashMap<>();
  private final Scheduler scheduler;
  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder recorder;

  CrashMonitor(RequestDependencies dependencies) {
    this.scheduler = dependencies.ports().scheduler();
    this.peers = dependencies.ports().peers();
    this.membership = dependencies.membership();
    this.recorder = dependencies.recorder();
  }

  Verdict evaluate(String fingerprint) {
    return fingerprints.judge(Set.of(fingerprint), scheduler.wallMillis());
  }

  /** Records that a suspect is dispatched. */
  void onSuspectDispatched(String fingerprint) {
    fingerprints.onDispatched(Set.of(fingerprint), scheduler.wallMillis());
  }

  void onCompleted(String fingerprint) {
    fingerprints.onCompleted(Set.of(fingerprint), scheduler.wallMillis());
  }

  /** Records that a stream broke; called before the request is removed from the engine. */
  void onStreamBroken(UpstreamState engine) {
    long now = scheduler.nowMillis();
    StreamBreak known = lastBreaks.get(engine.upstream().name());
    if (known != null && now - known.brokeAtMillis < SAME_BREAK_WINDOW_MILLIS) {
      return;
    }
    boolean ranAlone =
        engine.inFlight() == 1 && engine.load().isLoadAtMost(1, now, MAX_LOAD_REPORT_AGE_MILLIS);
    lastBreaks.put(
        engine.upstream().name(), new StreamBreak(now, engine.executingFingerprints(), ranAlone));
  }

  /**
   * Reports a crash if streams that broke can't be resumed.
   *
   * @param restarted whether the engine responds but no longer knows the streams
   */
  void onStreamsNotResumable(UpstreamState engine, boolean restarted) {
    String name = engine.upstream().name();
    StreamBreak b = lastBreaks.get(name);
    if (b == null || b.reported || (!restarted && isLinkFailure(name, b))) {
      return;
    }
    b.reported = true;
    recorder.record("upstream_crashed", "", "", "", name, "executing " + b.fingerprints.size());
    report(fingerprints.onCrash(name, b.fingerprints, b.ranAlone, scheduler.wallMillis()));
  }

  private boolean isLinkFailure(String name, StreamBreak b) {
    return lastBreaks.entrySet().stream()
        .anyMatch(
            e ->
                !e.getKey().equals(name)
                    && Math.abs(e.getValue().brokeAtMillis - b.brokeAtMillis)
                        < LINK_FAILURE_WINDOW_MILLIS
                    && Collections.disjoint(e.getValue().fingerprints, b.fingerprints));
  }

  private void report(List<Sighting> sightings) {
    CrashReport.Builder b = CrashReport.newBuilder().setStamp(recorder.stamp());
    for (Sighting s : sightings) {
      String fingerprint = s.traits().iterator().next();
      if (!HEX.matcher(fingerprint).matches()) {
        continue;
      }
      b.addEntries(
          CrashEntry.newBuilder()
              .setFingerprint(ByteString.copyFrom(HexFormat.of().parseHex(fingerprint)))
              .setUpstream(s.upstream())
              .setObservedAtMillis(s.atMillis()));
    }
    CrashReport report = b.build();
    MemberInfo self = membership.self();
    for (MemberInfo m : membership.alive()) {
      boolean other = !m.incarnation().equals(self.incarnation());
      if (other && m.failureDomain().equals(self.failureDomain())) {
        FutureCallbacks.onValue(
            peers.reportCrashes(m.peerAddress(), report, REPORT_TIMEOUT_MILLIS),
            r -> r.ifPresent(x -> recorder.observe(x.getStamp())));
      }
    }
  }

  CrashReportResponse onReport(CrashReport report) {
    recorder.observe(report.getStamp());
    List<Sighting> sightings = new ArrayList<>();
    for (CrashEntry e : report.getEntriesList()) {
      if (sightings.size() < MAX_ENTRIES) {
        String hex = HexFormat.of().formatHex(e.getFingerprint().toByteArray());
        sightings.add(
            new Sighting(
                Set.of(hex), AttemptProgress.WAITING, e.getUpstream(), e.getObservedAtMillis()));
      }
    }
    fingerprints.onReport(sightings);
    return CrashReportResponse.newBuilder().setStamp(recorder.stamp()).build();
  }
}
