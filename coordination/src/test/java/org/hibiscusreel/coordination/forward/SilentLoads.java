package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.forward.LoadReport;

/** Carries no reports. */
final class SilentLoads implements LoadTransport {

  @Override
  public void send(List<String> peers, LoadReport report) {}

  @Override
  public void receive(Consumer<LoadReport> receiver) {}
}
