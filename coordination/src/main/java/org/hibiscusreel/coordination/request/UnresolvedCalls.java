package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.config.ServiceMethod;

/**
 * Sent calls with unknown outcome; their reservations stay charged until the claim is finished or
 * withdrawn.
 */
final class UnresolvedCalls {
  private static final long POLL_INTERVAL_MILLIS = 30_000;

  private record Unresolved(AdmittedRequest admittedRequest, ServiceMethod method, Claim claim) {}

  private final RequestContext context;
  private final List<Unresolved> calls = new ArrayList<>();
  private boolean scheduled;

  UnresolvedCalls(RequestContext context) {
    this.context = context;
  }

  void add(AdmittedRequest admittedRequest, ServiceMethod method, Claim claim) {
    calls.add(new Unresolved(admittedRequest, method, claim));
    schedule();
  }

  int size() {
    return calls.size();
  }

  private void schedule() {
    if (!scheduled && !calls.isEmpty()) {
      scheduled = true;
      context.scheduler().schedule(POLL_INTERVAL_MILLIS, this::poll);
    }
  }

  private void poll() {
    scheduled = false;
    for (Unresolved u : List.copyOf(calls)) {
      FutureCallbacks.onValue(
          context.claims().lookUp(u.claim().key()),
          l -> {
            if (l instanceof Claims.LookUp.Known k) {
              resolve(u, k.row());
            }
          });
    }
    schedule();
  }

  private void resolve(Unresolved u, Optional<ClaimRow> row) {
    if (row.isEmpty() || row.get().state() == ClaimState.CLAIMED || !calls.remove(u)) {
      return;
    }
    if (row.get().state() == ClaimState.FINISHED) {
      ServiceCallTask.bill(context, u.admittedRequest(), u.method(), row.get().status());
    } else {
      u.admittedRequest().releaseUnbilled();
    }
  }
}
