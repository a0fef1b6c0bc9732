package org.hibiscusreel.core.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.junit.jupiter.api.Test;

class ReclamationTest {

  private static IncarnationRow row(String host, String domain, IncarnationState state) {
    return new IncarnationRow(host, domain, "site", "", "", "boot", state, "", 0);
  }

  private static boolean isAllowed(IncarnationState dead, IncarnationState other, String... acks) {
    Map<String, IncarnationRow> registry = new HashMap<>();
    registry.put("dead", row("h1", "a", dead));
    registry.put("other", row("h2", "a", other));
    registry.put("far", row("h3", "b", IncarnationState.LIVE));
    return Reclamation.isAllowed("dead", registry, Set.of(acks));
  }

  /** Guards against reclaiming tokens that a daemon may still spend. */
  @Test
  void requiresProofRecoveryAndAcknowledgementsOfTheFailureDomain() {
    IncarnationState recovered = IncarnationState.RECOVERED;
    assertThat(isAllowed(recovered, IncarnationState.LIVE, "other")).isTrue();
    assertThat(isAllowed(recovered, IncarnationState.LIVE)).isFalse();
    assertThat(isAllowed(recovered, IncarnationState.DEAD)).isFalse();
    assertThat(isAllowed(recovered, recovered)).isTrue();
    assertThat(isAllowed(recovered, IncarnationState.CLOSED)).isTrue();
    assertThat(isAllowed(IncarnationState.DEAD, IncarnationState.CLOSED)).isFalse();
    assertThat(isAllowed(IncarnationState.LIVE, IncarnationState.LIVE, "other")).isFalse();
  }

  /** Guards against returning tokens that were spent or already returned. */
  @Test
  void returnsDrawnTokensThatWereNotSpent() {
    assertThat(Reclamation.reclaim(new AllotmentRow(100, 20, false), 50))
        .isEqualTo(new AllotmentRow(100, 50, true));
    assertThat(Reclamation.reclaim(new AllotmentRow(100, 20, false), 90))
        .isEqualTo(new AllotmentRow(100, 20, true));
  }

  /** Guards against declaring a process dead that may still be running. */
  @Test
  void provesDeathOnlyByHostLockOrTerminatedHost() {
    IncarnationRow earlier = row("h", "a", IncarnationState.LIVE);
    assertThat(DeathProof.isReplacedOnHost(earlier, earlier, true)).isTrue();
    assertThat(DeathProof.isReplacedOnHost(earlier, earlier, false)).isFalse();
    IncarnationRow elsewhere = row("g", "a", IncarnationState.LIVE);
    assertThat(DeathProof.isReplacedOnHost(earlier, elsewhere, true)).isFalse();
    IncarnationRow rebooted =
        new IncarnationRow("h", "a", "site", "", "", "", IncarnationState.LIVE, "", 0);
    assertThat(DeathProof.isReplacedOnHost(earlier, rebooted, true)).isFalse();
    assertThat(DeathProof.isTerminated(earlier, Set.of("h"))).isTrue();
    assertThat(DeathProof.isTerminated(earlier, Set.of())).isFalse();
  }
}
