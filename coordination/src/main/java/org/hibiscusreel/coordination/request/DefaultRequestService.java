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

/** Serves requests by the engines and plain services of the site. */
public final class DefaultRequestService implements RequestService {
  private final RequestContext context;
  private final RequestLookUp lookUp;
  private final UpstreamPoller poller;

  /**
   * Creates the service.
   *
   * @param dependencies what it works with, not null
   */
  public DefaultRequestService(RequestDependencies dependencies) {
    this.context = new RequestContext(Objects.requireNonNull(dependencies, "dependencies"));
    this.lookUp = new RequestLookUp(context);
    this.poller = new UpstreamPoller(dependencies, context.upstreams());
  }

  /** Starts to follow the configuration and to poll engines. */
  public void start() {
    context.dependencies().configuration().addListener(this::onConfiguration);
    poller.start();
  }

  /** Stops to poll engines. Requests in progress are not affected. */
  public void stop() {
    poller.stop();
  }

  private void onConfiguration(Configuration configuration) {
    context.upstreams().onConfiguration(configuration);
    context.admission().onConfiguration(configuration);
    context.slots().drain();
  }

  @Override
  public ModelCall submit(ModelRequest request, AnswerListener listener) {
    Optional<Problem> closed = context.admission().checkOpen();
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
    Ticket.Terms terms = terms(configuration, request);
    Optional<Problem> refusal = begin(configuration, terms);
    if (refusal.isPresent()) {
      refused(terms, refusal.get());
      listener.onProblem(refusal.get());
      return new RefusedCall();
    }
    ModelCallTask task = new ModelCallTask(context, request, new Ticket(context, terms), listener);
    task.start();
    return task;
  }

  @Override
  public CompletableFuture<ServiceOutcome> submit(ServiceRequest request) {
    String target = request.service() + "/" + request.method();
    Optional<Problem> refusal = context.admission().checkOpen();
    if (refusal.isEmpty()) {
      Configuration configuration = configuration();
      Optional<ServiceMethod> method = method(configuration, request);
      if (method.isEmpty()) {
        refusal = Optional.of(Problem.notRun(ProblemCode.UNKNOWN_SERVICE, target));
      } else {
        Ticket.Terms terms = terms(request, target, method.get());
        refusal = begin(configuration, terms);
        if (refusal.isEmpty()) {
          Ticket ticket = new Ticket(context, terms);
          return new ServiceCallTask(context, request, method.get(), ticket).start();
        }
        refused(terms, refusal.get());
        return CompletableFuture.completedFuture(new ServiceOutcome.Failed(refusal.get()));
      }
    }
    refused(unvalued(request.key(), request.budget(), target), refusal.get());
    return CompletableFuture.completedFuture(new ServiceOutcome.Failed(refusal.get()));
  }

  private Configuration configuration() {
    return context.dependencies().configuration().current().orElseThrow();
  }

  private static Ticket.Terms terms(Configuration configuration, ModelRequest request) {
    RequestClass byDefault =
        new RequestClass(
            "",
            configuration.serving().worth(),
            configuration.serving().deadlineMillis(),
            configuration.serving().priority());
    RequestClass c = configuration.classes().getOrDefault(request.requestClass(), byDefault);
    long deadline = request.deadlineMillis() > 0 ? request.deadlineMillis() : c.deadlineMillis();
    return new Ticket.Terms(
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

  private static Ticket.Terms terms(ServiceRequest request, String target, ServiceMethod method) {
    long deadline =
        request.deadlineMillis() > 0 ? request.deadlineMillis() : method.deadlineMillis();
    return new Ticket.Terms(
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

  /** Takes the key and the limits, or returns why the request is refused. */
  private Optional<Problem> begin(Configuration configuration, Ticket.Terms terms) {
    if (!context.recent().begin(terms.key())) {
      return Optional.of(
          Problem.of(
              ProblemCode.IN_PROGRESS, Ran.UNKNOWN, "an earlier attempt is in progress here"));
    }
    Optional<Problem> refusal = context.admission().admit(configuration, terms);
    if (refusal.isPresent()) {
      context.recent().ended(terms.key(), 0, false);
    }
    return refusal;
  }

  private ModelCall refuse(ModelRequest request, AnswerListener listener, Problem problem) {
    refused(unvalued(request.key(), request.budget(), request.model()), problem);
    listener.onProblem(problem);
    return new RefusedCall();
  }

  /** Returns the terms of a request that is refused before its worth is known. */
  private static Ticket.Terms unvalued(RequestKey key, String budget, String target) {
    return new Ticket.Terms(key, budget, target, "", "", 0, 0, 0, 0);
  }

  private void refused(Ticket.Terms terms, Problem problem) {
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
   * Returns the number of calls that were sent and whose outcome is not known.
   *
   * @return 0 or more
   */
  public int unresolved() {
    return context.unresolved().size();
  }

  /**
   * Takes the fingerprints that another daemon saw crash upstreams.
   *
   * @param report the fingerprints
   * @return the response
   */
  public CrashReportResponse reportCrashes(CrashReport report) {
    return context.crashes().onReport(report);
  }

  /**
   * Tells another daemon what is known here about a request.
   *
   * @param request the request
   * @return the response
   */
  public LookUpRequestResponse lookUpRequest(LookUpRequestRequest request) {
    return lookUp.answer(request);
  }

  private static final class RefusedCall implements ModelCall {
    @Override
    public void pause() {}

    @Override
    public void proceed() {}

    @Override
    public void cancel() {}
  }
}
