package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class RelayAdmissionTest {

  private static List<Arguments> cases() {
    return List.of(
        Arguments.of("u", 5, 0, false, null),
        Arguments.of("u", 5, 0, true, RelayRefusal.ISOLATED),
        Arguments.of("u", 5, 9, false, RelayRefusal.PAUSED),
        Arguments.of("u", 6, 0, false, RelayRefusal.UNKNOWN),
        Arguments.of("127.0.0.1:1", 5, 0, false, RelayRefusal.UNKNOWN),
        Arguments.of("leaving", 5, 0, false, RelayRefusal.UNKNOWN));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void admitsOnlyKnownInstancesThatTakeRequests(
      String upstream, long startedAt, long pause, boolean isIsolated, RelayRefusal refusal) {
    UpstreamCatalog catalog = new UpstreamCatalog();
    for (String id : List.of("u", "leaving")) {
      catalog.put(new UpstreamEntry(id, "s", "127.0.0.1:1", "d", false, 4, 5));
    }
    catalog.onLeaving(LeavingUpstream.of(catalog.find("leaving").orElseThrow()));
    RelayAdmission admission = new RelayAdmission(() -> 0, catalog, u -> pause, () -> isIsolated);
    RelayAdmission.Decision decision = admission.decide(new RelayTicket("n", startedAt, upstream));
    if (refusal == null) {
      assertThat(decision).isInstanceOf(RelayAdmission.Decision.Admitted.class);
    } else {
      assertThat(decision).isEqualTo(new RelayAdmission.Decision.Refused(refusal));
    }
  }
}
