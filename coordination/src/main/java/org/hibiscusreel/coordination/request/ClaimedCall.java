package org.hibiscusreel.coordination.request;

import java.util.Base64;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.claim.ClaimResult;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;

/** Claims a call that must not be repeated, then sends it at most once. */
final class ClaimedCall {
  private static final long RETRY_AFTER_MILLIS = 2_000;

  private final RequestContext context;
  private final ServiceCallTask task;
  private final UpstreamState instance;

  ClaimedCall(RequestContext context, ServiceCallTask task, UpstreamState instance) {
    this.context = context;
    this.task = task;
    this.instance = instance;
  }

  void start() {
    ServiceRequest r = task.request();
    long wait = ReservationPolicy.maxWaitMillis(task.admittedRequest());
    FutureCallbacks.onValue(
        context.claims().claim(r.key(), r.fingerprint(), wait),
        result -> {
          if (result instanceof ClaimResult.Held h) {
            onHeld(h.claim());
          } else {
            task.releaseInstance(instance);
            onNotHeld(result);
          }
        });
  }

  private void onHeld(Claim claim) {
    boolean leaving =
        context.dependencies().membership().leavingUpstreams().contains(instance.upstream().name());
    if (task.admittedRequest().remainingMillis() <= 0) {
      withdraw(claim, ProblemCode.DEADLINE_EXCEEDED, "the claim took until the deadline");
    } else if (leaving) {
      withdraw(claim, ProblemCode.NO_UPSTREAM, "the instance is leaving");
    } else {
      FutureCallbacks.onValue(task.call(instance), r -> onResult(claim, r));
    }
  }

  private void onResult(Claim claim, PlainServiceClient.Result result) {
    if (result instanceof PlainServiceClient.Result.Responded r) {
      task.releaseInstance(instance);
      context.claims().finish(claim, r.status(), r.contentType(), r.body());
      task.completeWith(r.status(), r.contentType(), r.body());
    } else if (result instanceof PlainServiceClient.Result.NotSent n) {
      withdraw(claim, ProblemCode.NO_UPSTREAM, n.reason());
    } else if (result instanceof PlainServiceClient.Result.Unknown u) {
      task.releaseInstance(instance);
      task.failCharged(Problem.of(ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, u.reason()), claim);
    }
  }

  /** Withdraws the claim; only a committed withdrawal proves that the call never runs. */
  private void withdraw(Claim claim, ProblemCode code, String detail) {
    task.releaseInstance(instance);
    FutureCallbacks.onValue(
        context.claims().withdraw(claim),
        committed -> {
          if (committed) {
            task.failUncharged(Problem.notRun(code, detail, RETRY_AFTER_MILLIS));
          } else {
            task.failUncharged(Problem.of(ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail));
          }
        });
  }

  private void onNotHeld(ClaimResult result) {
    if (result instanceof ClaimResult.Taken t) {
      onTaken(t.row());
    } else if (result instanceof ClaimResult.Unavailable u) {
      task.failUncharged(
          Problem.notRun(ProblemCode.CLAIM_UNAVAILABLE, u.reason(), RETRY_AFTER_MILLIS));
    } else if (result instanceof ClaimResult.Undetermined u) {
      task.failUncharged(Problem.of(ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, u.reason()));
    }
  }

  private void onTaken(ClaimRow row) {
    if (!row.fingerprint().equals(task.request().fingerprint())) {
      task.failUncharged(Problem.notRun(ProblemCode.IDEMPOTENCY_KEY_REUSED, "the content differs"));
    } else if (row.state() == ClaimState.FINISHED) {
      // The bill of the earlier attempt may be lost; if it exists, this attempt is not charged.
      task.completeWith(row.status(), row.contentType(), Base64.getDecoder().decode(row.body()));
    } else if (row.state() == ClaimState.WITHDRAWN) {
      task.failUncharged(
          Problem.notRun(
              ProblemCode.CLAIM_UNAVAILABLE,
              "an earlier attempt was withdrawn",
              RETRY_AFTER_MILLIS));
    } else {
      task.failUncharged(
          Problem.of(ProblemCode.IN_PROGRESS, Ran.UNKNOWN, "another attempt holds the claim"));
    }
  }
}
