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

/** Combines what configuration, load reports, host list and peers say of leaving upstreams. */
final class LeavingMonitor {
  /** Load reports lag; one that is older than this after a change can't revoke it. */
  private static final long LOAD_OVERRIDE_MILLIS = 5_000;

  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final Runnable onChange;
  private final LeavingUpstreams registers = new LeavingUpstreams();
  private Set<String> configured = Set.of();
  private Set<String> names = Set.of();

  LeavingMonitor(Scheduler scheduler, EventRecorder recorder, Runnable onChange) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.onChange = onChange;
  }

  Set<String> names() {
    return names;
  }

  List<String> encode() {
    return registers.encode();
  }

  void expire() {
    registers.expire(scheduler.wallMillis());
  }

  void merge(List<String> encoded) {
    changedIf(registers.merge(encoded));
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
      changed |= state(LeavingUpstreams.Source.HOSTS, u.name(), leaving);
    }
    changedIf(changed);
  }

  void onLoadReport(String upstream, boolean leaving, long reportedAtMillis) {
    Optional<Long> since = registers.changedAt(LeavingUpstreams.Source.LOAD, upstream);
    boolean old = since.isPresent() && reportedAtMillis < since.get() + LOAD_OVERRIDE_MILLIS;
    if (leaving || !old) {
      changedIf(state(LeavingUpstreams.Source.LOAD, upstream, leaving));
    }
  }

  void mark(String upstream) {
    changedIf(state(LeavingUpstreams.Source.MARK, upstream, true));
  }

  void markReturned(String upstream) {
    boolean changed = false;
    for (LeavingUpstreams.Source s : LeavingUpstreams.Source.values()) {
      changed |= state(s, upstream, false);
    }
    changedIf(changed);
  }

  private boolean state(LeavingUpstreams.Source source, String upstream, boolean leaving) {
    return registers.state(source, upstream, leaving, scheduler.wallMillis());
  }

  private void changedIf(boolean changed) {
    if (changed) {
      refresh();
      onChange.run();
    }
  }

  private void refresh() {
    Set<String> next = new TreeSet<>(configured);
    next.addAll(registers.names());
    recordDifference("upstream_leaving", next, names);
    recordDifference("upstream_returned", names, next);
    names = Set.copyOf(next);
  }

  private void recordDifference(String kind, Set<String> in, Set<String> notIn) {
    for (String n : in) {
      if (!notIn.contains(n)) {
        recorder.record(kind, "", "", "", n, "");
      }
    }
  }
}
