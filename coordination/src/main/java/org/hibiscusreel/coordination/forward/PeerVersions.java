package org.hibiscusreel.coordination.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Versions of the upstreams that the other daemons have seen lately, as they report them. */
final class PeerVersions {

  private record Report(Set<StreamOrigin> versions, long atMillis, long firstAtMillis) {}

  private final Map<String, Report> bySender = new HashMap<>();

  /**
   * Processes a report, which replaces the earlier ones of its sender.
   *
   * @param sender incarnation of the daemon
   * @param versions versions that it has seen lately
   * @param nowMillis monotonic time in milliseconds
   */
  void onReport(String sender, Collection<StreamOrigin> versions, long nowMillis) {
    Report earlier = bySender.get(sender);
    long firstAtMillis = earlier == null ? nowMillis : earlier.firstAtMillis();
    bySender.put(sender, new Report(Set.copyOf(versions), nowMillis, firstAtMillis));
  }

  /** Forgets the reports that were received before a time. */
  void expire(long millis) {
    bySender.values().removeIf(r -> r.atMillis() < millis);
  }

  /**
   * Returns whether reports received after a time, with the view of this daemon, are those of all
   * daemons. One that is not heard may have been the only one that knew of a version. A daemon that
   * has started lately does not know what was in use before.
   *
   * @param services names of services; a report without a version of one of them tells nothing
   * @param millis monotonic time in milliseconds
   * @param runningSinceMillis time at which a sender must have been heard already, in milliseconds
   * @param daemons number of daemons, with this one
   */
  boolean areAll(Set<String> services, long millis, long runningSinceMillis, int daemons) {
    long telling =
        telling(services, millis).filter(r -> r.firstAtMillis() <= runningSinceMillis).count();
    return telling + 1 >= daemons;
  }

  /**
   * Returns the number of daemons that have reported a version of one of the services after a time.
   *
   * @param services names of the services
   * @param millis monotonic time in milliseconds
   */
  long count(Set<String> services, long millis) {
    return telling(services, millis).count();
  }

  /**
   * Returns the versions of a service in the reports that were received after a time.
   *
   * @param service name of the service
   * @param millis monotonic time in milliseconds
   */
  Set<StreamOrigin> versions(String service, long millis) {
    Set<StreamOrigin> result = new HashSet<>();
    since(millis).forEach(r -> result.addAll(r.versions()));
    result.removeIf(v -> !v.service().equals(service));
    return result;
  }

  private Stream<Report> telling(Set<String> services, long millis) {
    return since(millis).stream()
        .filter(r -> r.versions().stream().anyMatch(v -> services.contains(v.service())));
  }

  private List<Report> since(long millis) {
    return bySender.values().stream().filter(r -> r.atMillis() > millis).toList();
  }
}
