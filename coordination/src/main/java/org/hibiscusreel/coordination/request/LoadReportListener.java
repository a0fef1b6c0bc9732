package org.hibiscusreel.coordination.request;

/** Receives the leaving state of upstreams from their load reports. */
@FunctionalInterface
public interface LoadReportListener {
  /**
   * Called when a load report arrived.
   *
   * @param upstream name of the upstream
   * @param leaving whether the upstream reports that it is leaving
   * @param atMillis wall-clock time of the report in milliseconds since the epoch
   */
  void onLoadReport(String upstream, boolean leaving, long atMillis);
}
