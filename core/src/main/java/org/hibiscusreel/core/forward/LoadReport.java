package org.hibiscusreel.core.forward;

import java.util.List;

/**
 * Requests of one daemon at all upstreams, as it tells the other daemons. A later report replaces
 * an earlier one.
 *
 * @param sender run of the daemon
 * @param sequence number of the report within the run, increasing
 * @param entries upstreams at which the daemon has requests
 */
public record LoadReport(String sender, long sequence, List<Entry> entries) {

  /**
   * Requests at one upstream.
   *
   * @param upstream identity of the upstream
   * @param requests number of requests
   * @param unreadTokens tokens of prompts that the upstream has still to read, estimated
   */
  public record Entry(String upstream, int requests, long unreadTokens) {}

  /** Copies the list. */
  public LoadReport {
    entries = List.copyOf(entries);
  }
}
