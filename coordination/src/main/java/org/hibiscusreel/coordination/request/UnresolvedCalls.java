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

/** Calls that were sent and whose outcome is not known; their reservations stay charged. */
final class UnresolvedCalls {
  private static final long POLL_MILLIS = 30_000;

  private record Unresolved(Ticket ticket, ServiceMethod method, Claim claim) {}

  private final RequestContext context;
  private final List<Unresolved> calls = new ArrayList<>();
  private boolean scheduled;

  UnresolvedCalls(RequestContext context) {
    this.context = context;
  }

  void add(Ticket ticket, ServiceMethod method, Claim claim) {
    calls.add(new Unresolved(ticket, method, claim));
    schedule();
  }

  int size() {
    return calls.size();
  }

  private void schedule() {
    if (!scheduled && !calls.isEmpty()) {
      scheduled = true;
      context.scheduler().schedule(POLL_MILLIS, this::poll);
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
      ServiceCallTask.bill(context, u.ticket(), u.method(), row.get().status());
    } else {
      u.ticket().closeUnbilled();
    }
  }
}
