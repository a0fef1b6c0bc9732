package org.hibiscusreel.coordination.request;

/** Learns from load reports whether upstreams are leaving. */
@FunctionalInterface
public interface LoadReportListener {
  /**
   * A load report came.
   *
   * @param upstream name of the upstream
   * @param leaving whether the upstream says that it is leaving
   * @param atMillis wall-clock time of the report in milliseconds since the epoch
   */
  void onLoadReport(String upstream, boolean leaving, long atMillis);
}
