package org.hibiscusreel.coordination.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.hibiscusreel.coordination.request.RequestOutcome;
import org.hibiscusreel.core.report.DayCounters;
import org.hibiscusreel.core.report.DayRow;
import org.hibiscusreel.core.report.Tally;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;
import org.junit.jupiter.api.Test;

class OutcomeCounterTest {
  private final DayCounters counters = new DayCounters();
  private final OutcomeCounter counter = new OutcomeCounter(() -> counters, () -> 77);

  private void end(long lateMillis, boolean cancelled, Problem problem) {
    counter.onOutcome(
        new RequestOutcome(
            new RequestKey("acc", "q"),
            "budget",
            "writer",
            2,
            140,
            0,
            lateMillis,
            cancelled,
            Optional.ofNullable(problem)));
  }

  /**
   * Guards against outcomes that the daily report omits or counts under another code than callers
   * received.
   */
  @Test
  void countsOutcomesReportedToCallers() {
    end(0, false, null);
    end(5, false, null);
    end(0, true, null);
    end(0, false, Problem.notRun(ProblemCode.BUDGET_UNAVAILABLE, ""));
    end(0, false, Problem.notRun(ProblemCode.OVERLOADED, ""));
    end(0, false, Problem.of(ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, ""));
    DayRow row = counters.snapshot("host.1", "s1", "2026-12-04", 1, 0);
    var counts = row.accounts().get("acc");
    assertThat(counts.served()).isEqualTo(new Tally(2, 4));
    assertThat(counts.late()).isEqualTo(new Tally(1, 2));
    assertThat(counts.unknownOutcomes()).isEqualTo(new Tally(1, 2));
    assertThat(counts.refusals()).containsOnlyKeys("budget_unavailable", "overloaded");
    assertThat(row.budgetRefusals()).hasSize(1);
    assertThat(row.budgetRefusals().get(0).tokens()).isEqualTo(140);
    assertThat(row.budgetRefusals().get(0).atMillis()).isEqualTo(77);
  }
}
