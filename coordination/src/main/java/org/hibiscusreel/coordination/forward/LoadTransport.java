package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.forward.LoadReport;

/** Carries load reports between daemons. A report may be lost, late or delivered twice. */
public interface LoadTransport {

  /**
   * Sends a report.
   *
   * @param peers addresses of the other daemons
   * @param report what they are told
   */
  void send(List<String> peers, LoadReport report);

  /**
   * Delivers the reports of others on the event loop.
   *
   * @param receiver receives each report
   */
  void receive(Consumer<LoadReport> receiver);
}
