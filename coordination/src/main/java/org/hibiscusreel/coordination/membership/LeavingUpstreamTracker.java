package org.hibiscusreel.coordination.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.membership.LeavingUpstreams;

/**
 * Tracks leaving upstreams by combining the configuration, load reports, the host list and peers.
 */
final class LeavingUpstreamTracker {
  /** Load reports made within this time after a change can't revoke it, since they lag. */
  private static final long LOAD_OVERRIDE_MILLIS = 5_000;

  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final Runnable onChange;
  private final LeavingUpstreams registers = new LeavingUpstreams();
  private Set<String> configured = Set.of();
  private Set<String> leavingNames = Set.of();

  LeavingUpstreamTracker(Scheduler scheduler, EventRecorder recorder, Runnable onChange) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.onChange = onChange;
  }

  Set<String> leavingNames() {
    return leavingNames;
  }

  List<String> encode() {
    return registers.encode();
  }

  void expire() {
    registers.expire(scheduler.wallMillis());
  }

  void merge(List<String> encoded) {
    notifyIfChanged(registers.merge(encoded));
  }

  void onConfiguration(Configuration configuration) {
    Set<String> draining = new TreeSet<>();
    for (Upstream u : configuration.upstreams().values()) {
      if (u.leaving()) {
        draining.add(u.name());
      }
    }
    configured = draining;
    refresh();
  }

  void onListing(HostList.Listing listing) {
    boolean changed = false;
    for (HostList.ListedUpstream u : listing.upstreams()) {
      boolean leaving = u.state() != HostList.State.LIVE;
      changed |= setLeaving(LeavingUpstreams.Source.HOSTS, u.name(), leaving);
    }
    notifyIfChanged(changed);
  }

  void onLoadReport(String upstream, boolean leaving, long reportedAtMillis) {
    Optional<Long> since = registers.changedAt(LeavingUpstreams.Source.LOAD, upstream);
    boolean isOutdated = since.isPresent() && reportedAtMillis < since.get() + LOAD_OVERRIDE_MILLIS;
    if (leaving || !isOutdated) {
      notifyIfChanged(setLeaving(LeavingUpstreams.Source.LOAD, upstream, leaving));
    }
  }

  void markLeaving(String upstream) {
    notifyIfChanged(setLeaving(LeavingUpstreams.Source.MARK, upstream, true));
  }

  void markReturned(String upstream) {
    boolean changed = false;
    for (LeavingUpstreams.Source s : LeavingUpstreams.Source.values()) {
      changed |= setLeaving(s, upstream, false);
    }
    notifyIfChanged(changed);
  }

  private boolean setLeaving(LeavingUpstreams.Source source, String upstream, boolean leaving) {
    return registers.setRegister(source, upstream, leaving, scheduler.wallMillis());
  }

  private void notifyIfChanged(boolean changed) {
    if (changed) {
      refresh();
      onChange.run();
    }
  }

  private void refresh() {
    Set<String> next = new TreeSet<>(configured);
    next.addAll(registers.names());
    recordDifference("upstream_leaving", next, leavingNames);
    recordDifference("upstream_returned", leavingNames, next);
    leavingNames = Set.copyOf(next);
  }

  private void recordDifference(String kind, Set<String> in, Set<String> notIn) {
    for (String n : in) {
      if (!notIn.contains(n)) {
        recorder.record(kind, "", "", "", n, "");
      }
    }
  }
}
