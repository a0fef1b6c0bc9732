package org.hibiscusreel.coordination.request;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ModelSettings;
import org.hibiscusreel.core.config.PlainService;
import org.hibiscusreel.core.config.RequestClass;
import org.hibiscusreel.core.config.ServiceMethod;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.wire.CrashReport;
import org.hibiscusreel.wire.CrashReportResponse;
import org.hibiscusreel.wire.LookUpRequestRequest;
import org.hibiscusreel.wire.LookUpRequestResponse;

/** Serves requests with the engines and plain services of the site. */
public final class DefaultRequestService implements RequestService {
  private final RequestContext context;
  private final RequestLookUp lookUp;
  private final UpstreamPoller poller;

  /**
   * Creates the service.
   *
   * @param dependencies collaborators of the service, not null
   */
  public DefaultRequestService(RequestDependencies dependencies) {
    this.context = new RequestContext(Objects.requireNonNull(dependencies, "dependencies"));
    this.lookUp = new RequestLookUp(context);
    this.poller = new UpstreamPoller(dependencies, context.upstreams());
  }

  /** Starts following the configuration and polling engines. */
  public void start() {
    context.dependencies().configuration().addListener(this::onConfiguration);
    poller.start();
  }

  /** Stops polling engines. Requests in progress are not affected. */
  public void stop() {
    poller.stop();
  }

  private void onConfiguration(Configuration configuration) {
    context.upstreams().onConfiguration(configuration);
    context.admission().onConfiguration(configuration);
    context.slotQueue().startWaitingRequests();
  }

  @Override
  public ModelCall submit(ModelRequest request, AnswerListener listener) {
    Optional<Problem> closed = context.admission().checkReady();
    if (closed.isPresent()) {
      return refuse(request, listener, closed.get());
    }
    Configuration configuration = configuration();
    ModelSettings model = configuration.models().get(request.model());
    if (model == null) {
      return refuse(request, listener, Problem.notRun(ProblemCode.UNKNOWN_MODEL, request.model()));
    }
    if (request.maxTokens() > model.maxTokens()) {
      String detail = "the token limit of the model is " + model.maxTokens();
      return refuse(request, listener, Problem.notRun(ProblemCode.MALFORMED_REQUEST, detail));
    }
    AdmittedRequest.Terms terms = terms(configuration, request);
    Optional<Problem> refusal = beginRequest(configuration, terms);
    if (refusal.isPresent()) {
      recordRefusal(terms, refusal.get());
      listener.onProblem(refusal.get());
      return new RefusedCall();
    }
    ModelCallTask task =
        new ModelCallTask(context, request, new AdmittedRequest(context, terms), listener);
    task.start();
    return task;
  }

  @Override
  public CompletableFuture<ServiceOutcome> submit(ServiceRequest request) {
    String target = request.service() + "/" + request.method();
    Optional<Problem> refusal = context.admission().checkReady();
    if (refusal.isEmpty()) {
      Configuration configuration = configuration();
      Optional<ServiceMethod> method = method(configuration, request);
      if (method.isEmpty()) {
        refusal = Optional.of(Problem.notRun(ProblemCode.UNKNOWN_SERVICE, target));
      } else {
        AdmittedRequest.Terms terms = terms(request, target, method.get());
        refusal = beginRequest(configuration, terms);
        if (refusal.isEmpty()) {
          AdmittedRequest admittedRequest = new AdmittedRequest(context, terms);
          return new ServiceCallTask(context, request, method.get(), admittedRequest).start();
        }
        recordRefusal(terms, refusal.get());
        return CompletableFuture.completedFuture(new ServiceOutcome.Failed(refusal.get()));
      }
    }
    recordRefusal(termsOfRefusedRequest(request.key(), request.budget(), target), refusal.get());
    return CompletableFuture.completedFuture(new ServiceOutcome.Failed(refusal.get()));
  }

  private Configuration configuration() {
    return context.dependencies().configuration().current().orElseThrow();
  }

  private static AdmittedRequest.Terms terms(Configuration configuration, ModelRequest request) {
    RequestClass defaultClass =
        new RequestClass(
            "",
            configuration.serving().worth(),
            configuration.serving().deadlineMillis(),
            configuration.serving().priority());
    RequestClass c = configuration.classes().getOrDefault(request.requestClass(), defaultClass);
    long deadline = request.deadlineMillis() > 0 ? request.deadlineMillis() : c.deadlineMillis();
    return new AdmittedRequest.Terms(
        request.key(),
        request.budget(),
        request.model(),
        request.model(),
        request.fingerprint(),
        request.promptBytes() + request.maxTokens(),
        c.worth(),
        c.priority(),
        deadline);
  }

  private static AdmittedRequest.Terms terms(
      ServiceRequest request, String target, ServiceMethod method) {
    long deadline =
        request.deadlineMillis() > 0 ? request.deadlineMillis() : method.deadlineMillis();
    return new AdmittedRequest.Terms(
        request.key(),
        request.budget(),
        target,
        "",
        request.fingerprint(),
        Math.max(1, method.costTokens()),
        method.worth(),
        0,
        deadline);
  }

  /** Registers the request and acquires its limits, or returns why it is refused. */
  private Optional<Problem> beginRequest(Configuration configuration, AdmittedRequest.Terms terms) {
    if (!context.recent().begin(terms.key())) {
      return Optional.of(
          Problem.of(
              ProblemCode.IN_PROGRESS, Ran.UNKNOWN, "an earlier attempt is in progress here"));
    }
    Optional<Problem> refusal = context.admission().admit(configuration, terms);
    if (refusal.isPresent()) {
      context.recent().onEnded(terms.key(), 0, false);
    }
    return refusal;
  }

  private ModelCall refuse(ModelRequest request, AnswerListener listener, Problem problem) {
    recordRefusal(termsOfRefusedRequest(request.key(), request.budget(), request.model()), problem);
    listener.onProblem(problem);
    return new RefusedCall();
  }

  /** Returns the terms of a request that is refused before its worth is determined. */
  private static AdmittedRequest.Terms termsOfRefusedRequest(
      RequestKey key, String budget, String target) {
    return new AdmittedRequest.Terms(key, budget, target, "", "", 0, 0, 0, 0);
  }

  private void recordRefusal(AdmittedRequest.Terms terms, Problem problem) {
    context
        .recorder()
        .record(
            "refused",
            terms.key().account(),
            terms.key().requestId(),
            terms.budget(),
            "",
            problem.code().toField() + " ran=" + problem.ran().toField());
    context
        .outcomes()
        .onOutcome(
            new RequestOutcome(
                terms.key(),
                terms.budget(),
                terms.target(),
                terms.worth(),
                terms.worstCase(),
                0,
                0,
                false,
                Optional.of(problem)));
  }

  private static Optional<ServiceMethod> method(
      Configuration configuration, ServiceRequest request) {
    PlainService service = configuration.services().get(request.service());
    return Optional.ofNullable(service).map(s -> s.methods().get(request.method()));
  }

  @Override
  public CompletableFuture<RequestStatus> lookUp(RequestKey key) {
    return lookUp.lookUp(key);
  }

  @Override
  public int inProgress() {
    return context.recent().inProgress();
  }

  @Override
  public void stopAccepting() {
    context.admission().stopAccepting();
  }

  /**
   * Returns the number of sent calls with unknown outcome.
   *
   * @return 0 or more
   */
  public int unresolvedCalls() {
    return context.unresolved().size();
  }

  /**
   * Records fingerprints of requests that another daemon observed at crashed upstreams.
   *
   * @param report the report of the other daemon
   * @return the response
   */
  public CrashReportResponse reportCrashes(CrashReport report) {
    return context.crashMonitor().onReport(report);
  }

  /**
   * Handles the question of another daemon about a request.
   *
   * @param request identifies the request
   * @return the state of the request at this daemon
   */
  public LookUpRequestResponse lookUpRequest(LookUpRequestRequest request) {
    return lookUp.handlePeerRequest(request);
  }

  private static final class RefusedCall implements ModelCall {
    @Override
    public void pause() {}

    @Override
    public void resumeReading() {}

    @Override
    public void cancel() {}
  }
}
