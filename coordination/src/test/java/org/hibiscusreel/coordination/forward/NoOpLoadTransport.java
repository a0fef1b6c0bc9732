package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.forward.LoadReport;

/** Load transport that discards all reports. */
final class NoOpLoadTransport implements LoadTransport {

  @Override
  public void send(List<String> peers, LoadReport report) {}

  @Override
  public void receive(Consumer<LoadReport> receiver) {}
}
