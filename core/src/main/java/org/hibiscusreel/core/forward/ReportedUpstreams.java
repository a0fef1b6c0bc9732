package org.hibiscusreel.core.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Upstreams of which other daemons have reported lately. Not thread-safe. */
public final class ReportedUpstreams {

  /** Time in milliseconds for which a report is used. */
  public static final long KEEP_MILLIS = 10_000;

  /** Largest number of upstreams that are kept. */
  static final int MAX_UPSTREAMS = 1_000;

  private record Report(UpstreamEntry entry, long atMillis) {}

  /** Reports by identifier of the upstream, the oldest one first. */
  private final Map<String, Report> reports = new LinkedHashMap<>();

  /**
   * Processes a report, which replaces the earlier one of the upstream.
   *
   * @param entry description that the upstream published
   * @param nowMillis monotonic time in milliseconds
   */
  public void add(UpstreamEntry entry, long nowMillis) {
    reports.remove(entry.id());
    if (reports.size() >= MAX_UPSTREAMS) {
      reports.remove(reports.keySet().iterator().next());
    }
    reports.put(entry.id(), new Report(entry, nowMillis));
  }

  /**
   * Returns the reported upstreams that can go on with a stream.
   *
   * @param origin what began the stream
   * @param nowMillis monotonic time in milliseconds
   * @return their descriptions
   */
  public List<UpstreamEntry> continuing(StreamOrigin origin, long nowMillis) {
    reports.values().removeIf(r -> nowMillis - r.atMillis() > KEEP_MILLIS);
    List<UpstreamEntry> result = new ArrayList<>();
    for (Report r : reports.values()) {
      if (origin.isContinuedBy(r.entry())) {
        result.add(r.entry());
      }
    }
    return result;
  }
}
