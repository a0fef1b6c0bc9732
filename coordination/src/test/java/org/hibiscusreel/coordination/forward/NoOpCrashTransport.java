package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.core.crash.CrashReport;

/** Transport of a daemon without peers. */
final class NoOpCrashTransport implements CrashTransport {

  @Override
  public void sendCrashes(List<String> peers, CrashReport report) {}

  @Override
  public void receiveCrashes(Consumer<CrashReport> receiver) {}
}
