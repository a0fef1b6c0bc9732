package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.PeerLoads;
import org.junit.jupiter.api.Test;

class LoadExchangeTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Map<String, Consumer<LoadReport>> receivers = new HashMap<>();
  private final List<LoadReport> sent = new ArrayList<>();

  private final class Network implements LoadTransport {

    private final String address;

    Network(String address) {
      this.address = address;
    }

    @Override
    public void send(List<String> peers, LoadReport report) {
      sent.add(report);
      peers.forEach(p -> receivers.getOrDefault(p, r -> {}).accept(report));
    }

    @Override
    public void receive(Consumer<LoadReport> receiver) {
      receivers.put(address, receiver);
    }
  }

  private LoadExchange daemon(String name, String... peers) {
    LoadExchange e = new LoadExchange(scheduler, new Network(name), name + ".1");
    e.start();
    e.onPeers(List.of(peers));
    return e;
  }

  @Test
  void reportsChangesToTheOthersSoon() {
    LoadExchange a = daemon("a", "b");
    final LoadExchange b = daemon("b", "a");
    a.own("u").onSent(700);
    a.onChanged();
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(b.others().at("u")).isEqualTo(new PeerLoads.Load(1, 700));
    a.own("u").onRead(700);
    a.own("u").onEnded();
    a.onChanged();
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(b.others().at("u")).isEqualTo(PeerLoads.Load.NONE);
  }

  @Test
  void gathersChangesIntoOneReport() {
    LoadExchange a = daemon("a", "b");
    for (int i = 0; i < 10; i++) {
      a.own("u" + i).onSent(1);
      a.onChanged();
    }
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).entries()).hasSize(10);
  }

  /** Guards against a lost datagram that hides a load which lasts. */
  @Test
  void repeatsLoadThatLasts() {
    LoadExchange a = daemon("a", "b");
    a.own("u").onSent(1);
    a.onChanged();
    scheduler.run(3 * LoadExchange.REPEAT_MILLIS);
    assertThat(sent.size()).isBetween(3, 4);
    a.own("u").onEnded();
    scheduler.run(3 * LoadExchange.REPEAT_MILLIS);
    int settled = sent.size();
    scheduler.run(5 * LoadExchange.REPEAT_MILLIS);
    assertThat(sent).hasSize(settled);
  }

  /** Guards against a large fleet that spends its processors on reports. */
  @Test
  void boundsTheReportsOfLargeFleets() {
    String[] peers = new String[100];
    for (int i = 0; i < peers.length; i++) {
      peers[i] = "p" + i;
    }
    LoadExchange a = daemon("a", peers);
    for (int i = 0; i < 1_000; i++) {
      a.own("u").onSent(1);
      a.onChanged();
      scheduler.run(10);
    }
    long seconds = 10;
    assertThat((long) sent.size() * peers.length)
        .isLessThanOrEqualTo(seconds * LoadExchange.MAX_REPORTS_PER_SECOND + peers.length);
  }
}
