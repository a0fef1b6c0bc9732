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

/** Serves one admitted call to a plain service: reservation, dispatch, retries and billing. */
final class ServiceCallTask implements SlotQueue.Waiter {
  /** Lowest HTTP status that denotes a failure of the service; failed calls are not billed. */
  private static final int FIRST_FAILURE_STATUS = 500;

  private final RequestContext context;
  private final ServiceRequest request;
  private final ServiceMethod method;
  private final AdmittedRequest admittedRequest;
  private final CompletableFuture<ServiceOutcome> future = new CompletableFuture<>();
  private final Set<String> excluded = new HashSet<>();
  private boolean mayHaveRun;

  ServiceCallTask(
      RequestContext context,
      ServiceRequest request,
      ServiceMethod method,
      AdmittedRequest admittedRequest) {
    this.context = context;
    this.request = request;
    this.method = method;
    this.admittedRequest = admittedRequest;
  }

  CompletableFuture<ServiceOutcome> start() {
    admittedRequest.record("admitted", "", admittedRequest.terms().target());
    context.retryBudget().onRequest();
    if (!context.upstreams().isServed(requirements())) {
      refuse(ProblemCode.NO_UPSTREAM, request.service(), 0);
      return future;
    }
    long wait = ReservationPolicy.maxWaitMillis(admittedRequest);
    FutureCallbacks.onValue(
        context
            .budgets()
            .reserve(request.key(), request.budget(), admittedRequest.terms().worstCase(), wait),
        this::onReservation);
    return future;
  }

  private void onReservation(ReservationResult result) {
    if (result instanceof ReservationResult.Granted g) {
      admittedRequest.onReserved(g.reservation());
      awaitSlot();
    } else {
      failUncharged(ReservationPolicy.toProblem(result));
    }
  }

  private void awaitSlot() {
    if (admittedRequest.remainingMillis() <= 0) {
      refuse(ProblemCode.DEADLINE_EXCEEDED, "", 0);
    } else if (context.upstreams().isServed(requirements())) {
      context.slotQueue().startOrEnqueue(this, admittedRequest);
    } else {
      refuse(ProblemCode.NO_UPSTREAM, request.service(), 0);
    }
  }

  @Override
  public UpstreamDirectory.Requirements requirements() {
    return new UpstreamDirectory.Requirements(
        UpstreamKind.SERVICE, request.service(), List.of(), excluded, false);
  }

  @Override
  public void onSlot() {
    Optional<UpstreamState> chosen = context.upstreams().choose(requirements());
    if (chosen.isEmpty()) {
      onDropped(false, context.slotQueue().retryAfterMillis());
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

  /** Sends the call to an instance of the service. */
  CompletableFuture<PlainServiceClient.Result> call(UpstreamState instance) {
    admittedRequest.record("dispatched", instance.upstream().name(), "");
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
                Math.max(1, admittedRequest.remainingMillis())));
  }

  void releaseInstance(UpstreamState instance) {
    instance.end(request.fingerprint());
    context.slotQueue().startWaitingRequests();
  }

  private void onRepeatable(UpstreamState instance, PlainServiceClient.Result result) {
    releaseInstance(instance);
    excluded.add(instance.upstream().name());
    if (result instanceof PlainServiceClient.Result.Responded r) {
      mayHaveRun = true;
      if (r.status() < FIRST_FAILURE_STATUS || !retry("status " + r.status())) {
        completeWith(r.status(), r.contentType(), r.body());
      }
    } else if (result instanceof PlainServiceClient.Result.NotSent n) {
      if (!retry(n.reason())) {
        refuse(ProblemCode.NO_UPSTREAM, n.reason(), context.slotQueue().retryAfterMillis());
      }
    } else if (result instanceof PlainServiceClient.Result.Unknown u) {
      mayHaveRun = true;
      if (!retry(u.reason())) {
        failUncharged(Problem.of(ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, u.reason()));
      }
    }
  }

  private boolean retry(String reason) {
    boolean possible =
        admittedRequest.remainingMillis() > 0 && context.upstreams().isServed(requirements());
    if (!possible || !context.retryBudget().tryRetry()) {
      return false;
    }
    admittedRequest.record("retried", "", reason);
    awaitSlot();
    return true;
  }

  ServiceRequest request() {
    return request;
  }

  AdmittedRequest admittedRequest() {
    return admittedRequest;
  }

  /** Ends the call with a response of the service to this or an earlier attempt. */
  void completeWith(int status, String contentType, byte[] body) {
    FutureCallbacks.onValue(
        bill(status),
        done -> {
          admittedRequest.end(false, Optional.empty());
          future.complete(new ServiceOutcome.Answered(status, contentType, body));
        });
  }

  private CompletableFuture<Void> bill(int status) {
    if (status < FIRST_FAILURE_STATUS) {
      return admittedRequest.billDurably(0, method.costTokens());
    }
    admittedRequest.releaseUnbilled();
    return CompletableFuture.completedFuture(null);
  }

  /** Bills a call according to its status; a failure of the service is not billed. */
  static void bill(
      RequestContext context, AdmittedRequest admittedRequest, ServiceMethod method, int status) {
    if (status < FIRST_FAILURE_STATUS) {
      admittedRequest.bill(0, method.costTokens());
    } else {
      admittedRequest.releaseUnbilled();
    }
  }

  ServiceMethod method() {
    return method;
  }

  private void refuse(ProblemCode code, String detail, long retryAfterMillis) {
    OptionalLong retry =
        retryAfterMillis > 0 ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty();
    failUncharged(new Problem(code, mayHaveRun ? Ran.UNKNOWN : Ran.NO, detail, retry));
  }

  /** Ends the call without charging it. */
  void failUncharged(Problem problem) {
    admittedRequest.releaseUnbilled();
    admittedRequest.end(false, Optional.of(problem));
    future.complete(new ServiceOutcome.Failed(problem));
  }

  /** Ends the call for its caller; the reservation stays charged until the outcome is known. */
  void failCharged(Problem problem, Claim claim) {
    context.unresolved().add(admittedRequest, method, claim);
    admittedRequest.end(false, Optional.of(problem));
    future.complete(new ServiceOutcome.Failed(problem));
  }
}
