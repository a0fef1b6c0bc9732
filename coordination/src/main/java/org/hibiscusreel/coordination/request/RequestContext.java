package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.retry.RetryBudget;

/** State and services shared by all requests of one daemon. */
final class RequestContext {
  private final RequestDependencies dependencies;
  private final UpstreamDirectory upstreams;
  private final SlotQueue slotQueue;
  private final CrashMonitor crashMonitor;
  private final Admission admission;
  private final CancelledUsageFinder cancelledUsage;
  private final UnresolvedCalls unresolved;
  private final RecentRequests recent = new RecentRequests();
  private final RetryBudget retryBudget =
      new RetryBudget(RetryBudget.DEFAULT_RATIO, RetryBudget.DEFAULT_BURST);
  private long startedStreams;

  RequestContext(RequestDependencies dependencies) {
    this.dependencies = dependencies;
    this.upstreams = new UpstreamDirectory(dependencies);
    this.slotQueue = new SlotQueue(dependencies.ports().scheduler(), upstreams);
    this.crashMonitor = new CrashMonitor(dependencies);
    this.admission = new Admission(this);
    this.cancelledUsage = new CancelledUsageFinder(dependencies);
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

  SlotQueue slotQueue() {
    return slotQueue;
  }

  CrashMonitor crashMonitor() {
    return crashMonitor;
  }

  Admission admission() {
    return admission;
  }

  CancelledUsageFinder cancelledUsage() {
    return cancelledUsage;
  }

  UnresolvedCalls unresolved() {
    return unresolved;
  }

  RecentRequests recent() {
    return recent;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  String nextStreamId() {
    startedStreams++;
    return self().incarnation() + "." + startedStreams;
  }
}
