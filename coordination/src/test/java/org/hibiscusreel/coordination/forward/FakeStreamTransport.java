package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hibiscusreel.core.forward.StreamReport;

/** Transport of one of several daemons in a test. */
final class FakeStreamTransport implements StreamTransport {

  private final Map<String, Consumer<StreamReport>> receivers;
  private final String address;

  /** Number of reports that will be lost. */
  int losses;

  /**
   * Creates a transport.
   *
   * @param receivers receivers of all daemons by address
   * @param address address of this daemon
   */
  FakeStreamTransport(Map<String, Consumer<StreamReport>> receivers, String address) {
    this.receivers = receivers;
    this.address = address;
  }

  @Override
  public void sendStreams(List<String> peers, StreamReport report) {
    if (losses > 0) {
      losses--;
      return;
    }
    peers.forEach(p -> receivers.getOrDefault(p, r -> {}).accept(report));
  }

  @Override
  public void receiveStreams(Consumer<StreamReport> receiver) {
    receivers.put(address, receiver);
  }
}
