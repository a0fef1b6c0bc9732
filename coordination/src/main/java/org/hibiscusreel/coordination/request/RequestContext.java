package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.retry.RetryBudget;

/** What the requests in progress of one daemon share. */
final class RequestContext {
  private final RequestDependencies dependencies;
  private final UpstreamDirectory upstreams;
  private final SlotQueue slots;
  private final CrashMonitor crashes;
  private final Admission admission;
  private final CancelledUsage cancelledUsage;
  private final UnresolvedCalls unresolved;
  private final RecentRequests recent = new RecentRequests();
  private final RetryBudget retries =
      new RetryBudget(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_BURST);
  private long streams;

  RequestContext(RequestDependencies dependencies) {
    this.dependencies = dependencies;
    this.upstreams = new UpstreamDirectory(dependencies);
    this.slots = new SlotQueue(dependencies.ports().scheduler(), upstreams);
    this.crashes = new CrashMonitor(dependencies);
    this.admission = new Admission(this);
    this.cancelledUsage = new CancelledUsage(dependencies);
    this.unresolved = new UnresolvedCalls(this);
  }

  RequestDependencies dependencies() {
    return dependencies;
  }

  Scheduler scheduler() {
    return dependencies.ports().scheduler();
  }

  EventRecorder recorder() {
    return dependencies.recorder();
  }

  BudgetReservations budgets() {
    return dependencies.budgets();
  }

  Billing billing() {
    return dependencies.billing();
  }

  Claims claims() {
    return dependencies.claims();
  }

  OutcomeListener outcomes() {
    return dependencies.outcomes();
  }

  MemberInfo self() {
    return dependencies.membership().self();
  }

  UpstreamDirectory upstreams() {
    return upstreams;
  }

  SlotQueue slots() {
    return slots;
  }

  CrashMonitor crashes() {
    return crashes;
  }

  Admission admission() {
    return admission;
  }

  CancelledUsage cancelledUsage() {
    return cancelledUsage;
  }

  UnresolvedCalls unresolved() {
    return unresolved;
  }

  RecentRequests recent() {
    return recent;
  }

  RetryBudget retries() {
    return retries;
  }

  String nextStreamId() {
    streams++;
    return self().incarnation() + "." + streams;
  }
}
