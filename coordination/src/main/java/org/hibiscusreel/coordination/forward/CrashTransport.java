package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.crash.CrashReport;

/** Sends crash reports between daemons. A report may be lost, delayed or delivered twice. */
public interface CrashTransport {

  /**
   * Sends a report.
   *
   * @param peers addresses of the other daemons
   * @param report the report
   */
  void sendCrashes(List<String> peers, CrashReport report);

  /**
   * Sets the receiver of reports from other daemons, which is called on the event loop.
   *
   * @param receiver receives each report
   */
  void receiveCrashes(Consumer<CrashReport> receiver);
}
