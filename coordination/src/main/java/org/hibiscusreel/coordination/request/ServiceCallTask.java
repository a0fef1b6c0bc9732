package org.hibiscusreel.coordination.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.core.config.ServiceMethod;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;

/** The life of one admitted call to a plain service. */
final class ServiceCallTask implements SlotQueue.Waiter {
  /** First status that says that the service failed; such a call is not billed. */
  private static final int FIRST_FAILURE_STATUS = 500;

  private final RequestContext context;
  private final ServiceRequest request;
  private final ServiceMethod method;
  private final Ticket ticket;
  private final CompletableFuture<ServiceOutcome> future = new CompletableFuture<>();
  private final Set<String> excluded = new HashSet<>();
  private boolean mayHaveRun;

  ServiceCallTask(
      RequestContext context, ServiceRequest request, ServiceMethod method, Ticket ticket) {
    this.context = context;
    this.request = request;
    this.method = method;
    this.ticket = ticket;
  }

  CompletableFuture<ServiceOutcome> start() {
    ticket.record("admitted", "", ticket.terms().target());
    context.retries().onRequest();
    if (!context.upstreams().isServed(wanted())) {
      refuse(ProblemCode.NO_UPSTREAM, request.service(), 0);
      return future;
    }
    long wait = Reserving.waitMillis(ticket);
    FutureCallbacks.onValue(
        context
            .budgets()
            .reserve(request.key(), request.budget(), ticket.terms().worstCase(), wait),
        this::onReservation);
    return future;
  }

  private void onReservation(ReservationResult result) {
    if (result instanceof ReservationResult.Granted g) {
      ticket.reserved(g.reservation());
      awaitSlot();
    } else {
      fail(Reserving.toProblem(result));
    }
  }

  private void awaitSlot() {
    if (ticket.remainingMillis() <= 0) {
      refuse(ProblemCode.DEADLINE_EXCEEDED, "", 0);
    } else if (context.upstreams().isServed(wanted())) {
      context.slots().enter(this, ticket);
    } else {
      refuse(ProblemCode.NO_UPSTREAM, request.service(), 0);
    }
  }

  @Override
  public UpstreamDirectory.Wanted wanted() {
    return new UpstreamDirectory.Wanted(
        UpstreamKind.SERVICE, request.service(), List.of(), excluded, false);
  }

  @Override
  public void onSlot() {
    Optional<UpstreamState> chosen = context.upstreams().choose(wanted());
    if (chosen.isEmpty()) {
      onDropped(false, context.slots().retryAfterMillis());
      return;
    }
    UpstreamState instance = chosen.get();
    instance.begin(request.fingerprint(), false);
    if (method.repeatable()) {
      FutureCallbacks.onValue(call(instance), r -> onRepeatable(instance, r));
    } else {
      new ClaimedCall(context, this, instance).start();
    }
  }

  @Override
  public void onDropped(boolean late, long retryAfterMillis) {
    ProblemCode code = late ? ProblemCode.DEADLINE_EXCEEDED : ProblemCode.OVERLOADED;
    refuse(code, "dropped while waiting for an upstream", retryAfterMillis);
  }

  /** Sends the call. */
  CompletableFuture<PlainServiceClient.Result> call(UpstreamState instance) {
    ticket.record("dispatched", instance.upstream().name(), "");
    return context
        .dependencies()
        .ports()
        .services()
        .call(
            instance.upstream(),
            new PlainServiceClient.Call(
                request.method(),
                request.key().requestId(),
                request.contentType(),
                request.body(),
                Math.max(1, ticket.remainingMillis())));
  }

  void releaseInstance(UpstreamState instance) {
    instance.end(request.fingerprint());
    context.slots().drain();
  }

  private void onRepeatable(UpstreamState instance, PlainServiceClient.Result result) {
    releaseInstance(instance);
    excluded.add(instance.upstream().name());
    if (result instanceof PlainServiceClient.Result.Responded r) {
      mayHaveRun = true;
      if (r.status() < FIRST_FAILURE_STATUS || !retry("status " + r.status())) {
        answer(r.status(), r.contentType(), r.body());
      }
    } else if (result instanceof PlainServiceClient.Result.NotSent n) {
      if (!retry(n.reason())) {
        refuse(ProblemCode.NO_UPSTREAM, n.reason(), context.slots().retryAfterMillis());
      }
    } else if (result instanceof PlainServiceClient.Result.Unknown u) {
      mayHaveRun = true;
      if (!retry(u.reason())) {
        fail(Problem.of(ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, u.reason()));
      }
    }
  }

  private boolean retry(String reason) {
    boolean possible = ticket.remainingMillis() > 0 && context.upstreams().isServed(wanted());
    if (!possible || !context.retries().tryRetry()) {
      return false;
    }
    ticket.record("retried", "", reason);
    awaitSlot();
    return true;
  }

  ServiceRequest request() {
    return request;
  }

  Ticket ticket() {
    return ticket;
  }

  /** Ends the call with an outcome of the service, now or of an earlier attempt. */
  void answer(int status, String contentType, byte[] body) {
    FutureCallbacks.onValue(
        bill(status),
        done -> {
          ticket.end(false, Optional.empty());
          future.complete(new ServiceOutcome.Answered(status, contentType, body));
        });
  }

  private CompletableFuture<Void> bill(int status) {
    if (status < FIRST_FAILURE_STATUS) {
      return ticket.billDurably(0, method.costTokens());
    }
    ticket.closeUnbilled();
    return CompletableFuture.completedFuture(null);
  }

  /** Bills a call by its outcome; a failure of the service is not billed. */
  static void bill(RequestContext context, Ticket ticket, ServiceMethod method, int status) {
    if (status < FIRST_FAILURE_STATUS) {
      ticket.bill(0, method.costTokens());
    } else {
      ticket.closeUnbilled();
    }
  }

  ServiceMethod method() {
    return method;
  }

  private void refuse(ProblemCode code, String detail, long retryAfterMillis) {
    OptionalLong retry =
        retryAfterMillis > 0 ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty();
    fail(new Problem(code, mayHaveRun ? Ran.UNKNOWN : Ran.NO, detail, retry));
  }

  /** Ends the call without a charge. */
  void fail(Problem problem) {
    ticket.closeUnbilled();
    ticket.end(false, Optional.of(problem));
    future.complete(new ServiceOutcome.Failed(problem));
  }

  /** Ends the call for its caller while the reservation stays charged. */
  void failCharged(Problem problem, Claim claim) {
    context.unresolved().add(ticket, method, claim);
    ticket.end(false, Optional.of(problem));
    future.complete(new ServiceOutcome.Failed(problem));
  }
}
