package org.hibiscusreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class MemberTableTest {
  private static final MembershipLimits LIMITS = MembershipLimits.defaults();

  private final MemberTable table =
      new MemberTable(member("self", "self:1"), LIMITS, new Random(3)::nextLong, 0);

  private static MemberUpdate member(String incarnation, String address) {
    return new MemberUpdate(
        incarnation, incarnation, "d1", "s1", address, "", MemberStatus.ALIVE, 0);
  }

  private MemberStatus statusOf(String incarnation) {
    return table.find(incarnation).orElseThrow().status();
  }

  private void runUntil(long from, long to) {
    for (long t = from; t <= to; t += 1_000) {
      table.tick(t);
    }
  }

  /** Guards against suspicions that a healthy daemon can't refute. */
  @Test
  void refutesSuspicionsOfItself() {
    table.merge(member("self", "self:1").with(MemberStatus.DEAD, 4), 0);
    assertThat(table.self().refutation()).isEqualTo(5);
    assertThat(table.self().status()).isEqualTo(MemberStatus.ALIVE);
    table.leave();
    assertThat(table.self().supersedes(member("self", "").with(MemberStatus.SUSPECT, 5))).isTrue();
  }

  /**
   * Guards against declaring a member dead without time to refute the suspicion, and against never
   * declaring it dead.
   */
  @Test
  void suspectsMemberBeforeDeclaringItDead() {
    table.merge(member("a", "a:1"), 0);
    table.onProbeFailed("a", 0);
    runUntil(0, LIMITS.suspicionMillis() - 1_000);
    assertThat(statusOf("a")).isEqualTo(MemberStatus.SUSPECT);
    runUntil(LIMITS.suspicionMillis(), LIMITS.suspicionMillis());
    assertThat(statusOf("a")).isEqualTo(MemberStatus.DEAD);
    assertThat(table.gossip("a", 7_000)).anyMatch(u -> u.status() == MemberStatus.DEAD);
    table.merge(member("a", "a:1").with(MemberStatus.ALIVE, 1), 7_000);
    assertThat(statusOf("a")).isEqualTo(MemberStatus.ALIVE);
  }

  /** Guards against declaring members dead because this process itself was paused. */
  @Test
  void processPauseExtendsSuspicions() {
    table.merge(member("a", "a:1"), 0);
    table.onProbeFailed("a", 0);
    table.tick(60_000);
    assertThat(statusOf("a")).isEqualTo(MemberStatus.SUSPECT);
    table.onMessage(member("a", "a:1"), 61_000);
    runUntil(61_000, 67_000);
    assertThat(statusOf("a")).isEqualTo(MemberStatus.SUSPECT);
  }

  /** Guards against counting two incarnations at one address as two members. */
  @Test
  void newIncarnationReplacesTheOldOneAtItsAddress() {
    table.onMessage(member("a-1", "a:1"), 0);
    assertThat(table.onMessage(member("a-2", "a:1"), 100)).isTrue();
    assertThat(statusOf("a-1")).isEqualTo(MemberStatus.DEAD);
    assertThat(table.snapshot()).extracting(MemberUpdate::incarnation).containsExactly("a-2");
    runUntil(1_000, LIMITS.tombstoneMillis() + 1_000);
    assertThat(table.find("a-1")).isEmpty();
  }

  /** Guards against messages that grow with the number of daemons. */
  @Test
  void messagesAreBounded() {
    for (int i = 0; i < 410; i++) {
      table.merge(member("m" + i, "m:" + i), 0);
    }
    int messagesWithUpdates = 0;
    for (int i = 0; i < 5_000; i++) {
      int n = table.gossip("", 0).size();
      assertThat(n).isLessThanOrEqualTo(LIMITS.maxUpdates() + LIMITS.maxRefresh());
      messagesWithUpdates += n > LIMITS.maxRefresh() ? 1 : 0;
    }
    assertThat(messagesWithUpdates).isLessThan(2_000);
  }
}
