package org.hibiscusreel.coordination.node;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.request.OutcomeListener;
import org.hibiscusreel.coordination.request.RequestOutcome;
import org.hibiscusreel.core.report.DayCounters;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;

/** Counts the outcomes of requests for the daily report. */
final class OutcomeCounter implements OutcomeListener {
  private final Supplier<DayCounters> counters;
  private final LongSupplier wallMillis;

  OutcomeCounter(Supplier<DayCounters> counters, LongSupplier wallMillis) {
    this.counters = counters;
    this.wallMillis = wallMillis;
  }

  @Override
  public void onOutcome(RequestOutcome outcome) {
    String account = outcome.key().account();
    if (outcome.problem().isPresent()) {
      onProblem(outcome, account, outcome.problem().get());
    } else if (!outcome.cancelled()) {
      counters.get().served(account, outcome.worth(), outcome.lateMillis());
    }
  }

  private void onProblem(RequestOutcome outcome, String account, Problem problem) {
    ProblemCode code = problem.code();
    if (code == ProblemCode.BUDGET_EXHAUSTED || code == ProblemCode.BUDGET_UNAVAILABLE) {
      counters
          .get()
          .budgetRefused(
              account,
              outcome.budget(),
              code,
              wallMillis.getAsLong(),
              outcome.worstCase(),
              outcome.worth());
    } else if (problem.ran() == Ran.UNKNOWN) {
      counters.get().unknownOutcome(account, outcome.worth());
    } else {
      counters.get().refused(account, code, outcome.worth());
    }
  }
}
