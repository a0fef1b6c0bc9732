package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.forward.StreamReport;

/** Sends reports of streams between daemons. A report may be lost, delayed or delivered twice. */
public interface StreamTransport {

  /**
   * Sends a report.
   *
   * @param peers addresses of the receiving daemons
   * @param report the report
   */
  void sendStreams(List<String> peers, StreamReport report);

  /**
   * Sets the receiver of reports from other daemons, which is called on the event loop.
   *
   * @param receiver receives each report
   */
  void receiveStreams(Consumer<StreamReport> receiver);
}
