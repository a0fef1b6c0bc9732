package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.forward.LoadReport;

/** Sends load reports between daemons. A report may be lost, delayed or delivered twice. */
public interface LoadTransport {

  /**
   * Sends a report.
   *
   * @param peers addresses of the other daemons
   * @param report the report
   */
  void send(List<String> peers, LoadReport report);

  /**
   * Sets the receiver of reports from other daemons, which is called on the event loop.
   *
   * @param receiver receives each report
   */
  void receive(Consumer<LoadReport> receiver);
}
