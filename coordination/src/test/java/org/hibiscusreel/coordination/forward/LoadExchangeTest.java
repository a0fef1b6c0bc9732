package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.PeerLoads;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.junit.jupiter.api.Test;

class LoadExchangeTest {

  private final List<Long> peerVersions = new ArrayList<>();
  private final List<LeavingUpstream> peerLeaving = new ArrayList<>();
  private final Map<String, List<StreamOrigin>> peerUpstreamVersions = new HashMap<>();
  private Set<StreamOrigin> upstreamVersions = Set.of();
  private long version;
  private int daemonCount = 2;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Map<String, Consumer<LoadReport>> receivers = new HashMap<>();
  private final List<LoadReport> sent = new ArrayList<>();

  private final class FakeLoadTransport implements LoadTransport {

    private final String address;

    FakeLoadTransport(String address) {
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

  /** Guards against an idle daemon from which others never hear that theirs is outdated. */
  @Test
  void reportsNewVersionOfTheConfigurationWithoutLoad() {
    daemon("a", "b");
    daemon("b");
    version = 9;
    scheduler.run(3 * LoadExchange.REPEAT_INTERVAL_MILLIS);
    assertThat(peerVersions).containsExactly(9L);
  }

  /** Guards against a daemon that sends to an upstream of which another knows that it leaves. */
  @Test
  void tellsOthersOfLeavingUpstream() {
    LoadExchange a = daemon("a", "b");
    daemon("b");
    LeavingUpstream instance = new LeavingUpstream("u", "10.0.0.1:80", 7);
    a.announceLeaving(instance);
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(peerLeaving).containsExactly(instance);
    // Repeated for some time, since a datagram may be lost.
    scheduler.run(2 * LoadExchange.ANNOUNCE_LEAVING_MILLIS);
    assertThat(peerLeaving.size()).isBetween(3, 8);
  }

  /** Guards against a daemon without the store that never hears of a new version. */
  @Test
  void tellsOthersOfUpstreamVersions() {
    LoadExchange a = daemon("a", "b");
    daemon("b");
    upstreamVersions = Set.of(new StreamOrigin("s", "v1"));
    a.onVersionListed();
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(peerUpstreamVersions.get("a.1")).containsExactly(new StreamOrigin("s", "v1"));
    peerUpstreamVersions.clear();
    a.ownLoad("u").onSent(1);
    scheduler.run(2 * LoadExchange.REPEAT_INTERVAL_MILLIS);
    assertThat(peerUpstreamVersions).containsKey("a.1");
  }

  private LoadExchange daemon(String name, String... peers) {
    LoadExchange e =
        new LoadExchange(
            scheduler,
            new FakeLoadTransport(name),
            new LoadExchange.Identity(name + ".1", name),
            () -> daemonCount,
            () -> version,
            () -> upstreamVersions,
            new LoadExchange.PeerListener() {
              @Override
              public void onVersion(long v) {
                peerVersions.add(v);
              }

              @Override
              public void onLeaving(LeavingUpstream instance) {
                peerLeaving.add(instance);
              }

              @Override
              public void onUpstreamVersions(String sender, List<StreamOrigin> versions) {
                peerUpstreamVersions.put(sender, versions);
              }
            });
    e.start();
    e.onPeers(List.of(peers));
    return e;
  }

  @Test
  void reportsChangesAfterTheReportDelay() {
    LoadExchange a = daemon("a", "b");
    final LoadExchange b = daemon("b", "a");
    a.ownLoad("u").onSent(700);
    a.scheduleReport();
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(b.peerLoads().at("u")).isEqualTo(new PeerLoads.Load(1, 700));
    a.ownLoad("u").onPrefillEnded(700);
    a.ownLoad("u").onEnded();
    a.scheduleReport();
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(b.peerLoads().at("u")).isEqualTo(PeerLoads.Load.NONE);
  }

  @Test
  void collectsChangesIntoOneReport() {
    LoadExchange a = daemon("a", "b");
    for (int i = 0; i < 10; i++) {
      a.ownLoad("u" + i).onSent(1);
      a.scheduleReport();
    }
    scheduler.run(LoadExchange.REPORT_DELAY_MILLIS);
    assertThat(sent).hasSize(1);
    assertThat(sent.get(0).entries()).hasSize(10);
  }

  /** Guards against a lost datagram that hides an unchanged load. */
  @Test
  void repeatsUnchangedLoad() {
    LoadExchange a = daemon("a", "b");
    a.ownLoad("u").onSent(1);
    a.scheduleReport();
    scheduler.run(3 * LoadExchange.REPEAT_INTERVAL_MILLIS);
    assertThat(sent.size()).isBetween(3, 4);
    a.ownLoad("u").onEnded();
    scheduler.run(3 * LoadExchange.REPEAT_INTERVAL_MILLIS);
    int settled = sent.size();
    scheduler.run(5 * LoadExchange.REPEAT_INTERVAL_MILLIS);
    assertThat(sent).hasSize(settled);
  }

  /** Guards against a large fleet whose processors are loaded mainly by reports. */
  @Test
  void boundsTheReportRateInLargeFleets() {
    String[] peers = new String[100];
    for (int i = 0; i < peers.length; i++) {
      peers[i] = "p" + i;
    }
    LoadExchange a = daemon("a", peers);
    for (int i = 0; i < 1_000; i++) {
      a.ownLoad("u").onSent(1);
      a.scheduleReport();
      scheduler.run(10);
    }
    long seconds = 10;
    assertThat((long) sent.size() * peers.length)
        .isLessThanOrEqualTo(seconds * LoadExchange.MAX_REPORTS_PER_SECOND + peers.length);
  }

  /** Guards against an idle daemon whose silence makes others leave it a share of a limit. */
  @Test
  void reportsLimitsWithoutLoad() {
    LoadExchange a = daemon("a", "b");
    final LoadExchange b = daemon("b", "a");
    a.limits().onResponse("u", new RequestLimit.Limited(2), 0, 0);
    scheduler.run(3 * LoadExchange.REPEAT_INTERVAL_MILLIS);
    assertThat(b.limits().perSecond("u")).hasValue(2);
    assertThat(b.waitMillis("u")).isZero();
    assertThat(a.spareFraction("u")).isEqualTo(1);
  }

  /**
   * Guards against a daemon that uses the whole limit although it hears only some of the others.
   */
  @Test
  void leavesTheShareOfDaemonsThatAreNotHeard() {
    daemonCount = 4;
    LoadExchange a = daemon("a", "b", "c", "d");
    daemon("b", "a", "c", "d").limits().onResponse("u", new RequestLimit.Limited(1), 0, 0);
    scheduler.run(LoadExchange.REPEAT_INTERVAL_MILLIS + 1);
    assertThat(a.waitMillis("u")).isBetween(1_900L, 2_000L);
  }
}
