package org.hibiscusreel.core.forward;

import java.util.List;
import java.util.Optional;

/**
 * Load that one daemon puts on all upstreams, as reported to the other daemons. A later report
 * replaces an earlier one. The version of the configuration shows the others whether theirs is
 * outdated.
 *
 * @param sender incarnation of the daemon
 * @param sequence number of the report within the incarnation, increasing
 * @param configurationVersion version of the configuration that the daemon has confirmed lately, 0
 *     if it has confirmed none
 * @param entries upstreams at which the daemon has requests
 * @param limits upstreams that have named a limit
 * @param leaving upstreams that have said lately that they are shutting down
 * @param versions versions of the upstreams' software that the daemon has seen lately, or empty if
 *     the report does not tell
 * @param brittle upstreams that have said that they are brittle, and those that ceased to be
 */
public record LoadReport(
    String sender,
    long sequence,
    long configurationVersion,
    List<Entry> entries,
    List<UpstreamLimits.Report> limits,
    List<LeavingUpstream> leaving,
    Optional<List<StreamOrigin>> versions,
    List<BrittleUpstreams.Report> brittle) {

  /**
   * Load on one upstream.
   *
   * @param upstream identity of the upstream
   * @param requests number of requests
   * @param pendingPrefillTokens estimated prompt tokens that the upstream has not prefilled yet
   */
  public record Entry(String upstream, int requests, long pendingPrefillTokens) {}

  /** Copies the lists. */
  public LoadReport {
    entries = List.copyOf(entries);
    limits = List.copyOf(limits);
    leaving = List.copyOf(leaving);
    versions = versions.map(List::copyOf);
    brittle = List.copyOf(brittle);
  }

  /**
   * Creates a report without brittle upstreams.
   *
   * @param sender incarnation of the daemon
   * @param sequence number of the report within the incarnation, increasing
   * @param configurationVersion version of the configuration that the daemon has confirmed lately
   * @param entries upstreams at which the daemon has requests
   * @param limits upstreams that have named a limit
   * @param leaving upstreams that have said lately that they are shutting down
   * @param versions versions of the upstreams' software, or empty if the report does not tell
   */
  public LoadReport(
      String sender,
      long sequence,
      long configurationVersion,
      List<Entry> entries,
      List<UpstreamLimits.Report> limits,
      List<LeavingUpstream> leaving,
      Optional<List<StreamOrigin>> versions) {
    this(sender, sequence, configurationVersion, entries, limits, leaving, versions, List.of());
  }
}
