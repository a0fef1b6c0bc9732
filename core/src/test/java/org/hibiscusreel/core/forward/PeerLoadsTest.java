package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerLoadsTest {

  private final PeerLoads loads = new PeerLoads();

  private static LoadReport report(String sender, long sequence, LoadReport.Entry... entries) {
    return new LoadReport(
        sender, sequence, 0, List.of(entries), List.of(), List.of(), Optional.empty());
  }

  private static LoadReport.Entry entry(String upstream, int requests, long tokens) {
    return new LoadReport.Entry(upstream, requests, tokens);
  }

  @Test
  void sumsTheLoadsOfAllDaemons() {
    loads.onReport(report("a", 1, entry("u", 2, 100), entry("v", 1, 10)), 0);
    loads.onReport(report("b", 1, entry("u", 1, 50)), 0);
    assertThat(loads.at("u")).isEqualTo(new PeerLoads.Load(3, 150));
    assertThat(loads.at("v")).isEqualTo(new PeerLoads.Load(1, 10));
    assertThat(loads.at("w")).isEqualTo(PeerLoads.Load.NONE);
    assertThat(loads.senderCount()).isEqualTo(2);
  }

  @Test
  void replacesPreviousReport() {
    loads.onReport(report("a", 1, entry("u", 2, 100)), 0);
    loads.onReport(report("a", 2, entry("v", 1, 10)), 0);
    assertThat(loads.at("u")).isEqualTo(PeerLoads.Load.NONE);
    assertThat(loads.at("v").requests()).isEqualTo(1);
  }

  /** Guards against reordered and duplicated datagrams. */
  @Test
  void ignoresReorderedAndDuplicateReports() {
    loads.onReport(report("a", 2, entry("u", 2, 100)), 0);
    loads.onReport(report("a", 1, entry("u", 9, 900)), 0);
    loads.onReport(report("a", 2, entry("u", 9, 900)), 0);
    assertThat(loads.at("u")).isEqualTo(new PeerLoads.Load(2, 100));
  }

  /**
   * Guards against the last reported load of a dead or partitioned daemon diverting requests
   * permanently.
   */
  @Test
  void expiresReportsOfSilentDaemons() {
    loads.onReport(report("a", 1, entry("u", 2, 100)), 0);
    loads.onReport(report("b", 1, entry("u", 1, 50)), 1_000);
    loads.expire(1_500, 1_500);
    assertThat(loads.at("u").requests()).isEqualTo(3);
    loads.expire(1_501, 1_500);
    assertThat(loads.at("u")).isEqualTo(new PeerLoads.Load(1, 50));
    assertThat(loads.senderCount()).isEqualTo(1);
  }

  /** Guards against a share of a limit that counts on daemons which are no longer heard. */
  @Test
  void countsSendersOfRecentReports() {
    PeerLoads recent = new PeerLoads();
    recent.onReport(report("a", 1), 1_000);
    recent.onReport(report("b", 1), 2_000);
    assertThat(recent.senderCount(2_000, 1_000)).isEqualTo(2);
    assertThat(recent.senderCount(2_001, 1_000)).isEqualTo(1);
  }

  /** Guards against a late report that replaces a newer one. */
  @Test
  void tellsWhetherReportIsTheLatest() {
    PeerLoads latest = new PeerLoads();
    assertThat(latest.onReport(report("a", 2), 0)).isTrue();
    assertThat(latest.onReport(report("a", 1), 0)).isFalse();
    assertThat(latest.onReport(report("a", 3), 0)).isTrue();
  }
}
