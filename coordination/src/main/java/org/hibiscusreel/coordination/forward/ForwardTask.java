package org.hibiscusreel.coordination.forward;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hibiscusreel.coordination.forward.CallerRequest.Resumption;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.core.crash.RequestTraits;
import org.hibiscusreel.core.forward.AccountSettings;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.AttemptPolicy;
import org.hibiscusreel.core.forward.AttemptProgress;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.PromptShape;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamSelector;
import org.hibiscusreel.core.retry.RetryBudget;

/** Serves one forwarded request: reservation, attempts, response and settlement. */
final class ForwardTask implements Forwarder.Handle, ForwardAttempt.Owner {

  /** Longest wait in milliseconds for a reservation, which normally takes a few milliseconds. */
  static final long RESERVATION_TIMEOUT_MILLIS = 1_500;

  /** Longest wait in milliseconds for the record of what began a stream. */
  static final long ORIGIN_TIMEOUT_MILLIS = 1_500;

  /**
   * Retry advice in milliseconds while no tokens can be drawn. Another daemon may still hold some,
   * and a caller that retries this soon can be served within the shortest latency objective of the
   * sites, 600 ms.
   */
  static final long STORE_UNAVAILABLE_RETRY_AFTER_MILLIS = 400;

  /**
   * Retry advice in milliseconds while other daemons hold the tokens; they rebalance a low budget
   * every second.
   */
  static final long HELD_ELSEWHERE_RETRY_AFTER_MILLIS = 1_200;

  /** Default retry advice in milliseconds for a request that did not run. */
  static final long RETRY_AFTER_MILLIS = 300;

  /**
   * Time in milliseconds after which an upstream that was reached and has not refused a request
   * counts as one that has accepted it, since refusals come at once. Two upstreams may work on one
   * stream for 400 ms at most.
   */
  static final long ACCEPTANCE_MILLIS = 250;

  /**
   * Delay in milliseconds after which it is known whether an upstream that broke off a request has
   * ended or goes on answering others.
   */
  static final long CRASH_CHECK_MILLIS = 150;

  private static final Logger LOGGER = System.getLogger(ForwardTask.class.getName());
  private static final String CRASHES_UPSTREAMS = "requests like this one crash upstreams";
  private static final int STATUS_REDIRECTION = 300;
  private static final int STATUS_SERVER_ERROR = 500;

  private final Forwarder forwarder;
  private final ForwardingTable table;
  private final Route route;
  private final Optional<AccountSettings> account;
  private final CallerRequest request;
  private final CallerExchange caller;
  private ForwardService service;
  private final long arrivalMillis;
  private final long callerDeadlineAtMillis;
  private final long timeoutAtMillis;
  private final Set<String> triedUpstreams = new HashSet<>();
  private final Set<String> unreachedUpstreams = new HashSet<>();
  private final AttemptHistory attempts = new AttemptHistory();
  private Set<String> knownTraits;
  private Optional<UpstreamCrashes.Admission.Suspect> suspect = Optional.empty();
  private long suspectSinceMillis;
  private Cancellable timer = () -> {};
  private ForwardAttempt attempt;
  private int sentAttempts;
  private int unsentAttempts;
  private boolean mayHaveRun;
  private boolean promptProcessed;
  private boolean ended;
  private boolean reserved;
  private Optional<StreamPosition> streamPosition = Optional.empty();
  private Optional<StreamOrigin> origin = Optional.empty();
  private boolean isOriginUnknown;
  private boolean hasCaughtUp;
  private Optional<Successor> successor = Optional.empty();
  private boolean isMovePaid; // a retry was taken for a move that reached no upstream
  private long eventsDelivered;
  private boolean isAnswerDelivered; // an answer that is no stream, and a success
  private long firstEventAtMillis;

  ForwardTask(
      Forwarder forwarder,
      ForwardingTable table,
      Route route,
      Optional<AccountSettings> account,
      CallerRequest request,
      CallerExchange caller) {
    this.forwarder = forwarder;
    this.table = table;
    this.route = route;
    this.account = account;
    this.request = request;
    this.caller = caller;
    String name = route.chooseService(forwarder.random().getAsLong());
    this.service = service(name);
    this.arrivalMillis = forwarder.scheduler().nowMillis();
    this.callerDeadlineAtMillis =
        arrivalMillis + request.deadlineMillis().orElse(route.timeoutMillis());
    this.timeoutAtMillis = Math.min(callerDeadlineAtMillis, arrivalMillis + route.timeoutMillis());
  }

  void start() {
    timer = forwarder.scheduler().schedule(remainingMillis(), this::onTimeout);
    boolean isTakenUp =
        request.resumption().isPresent() && route.retryPolicy() == RetryPolicy.RESUMABLE;
    runStep(isTakenUp ? this::findOrigin : this::begin);
  }

  private ForwardService service(String name) {
    return table.service(name).orElseGet(() -> new ForwardService(name, 0, 0, 0, 0));
  }

  /** Finds out which upstreams can go on with the stream that the caller takes up. */
  private void findOrigin() {
    Optional<String> first = request.resumption().flatMap(Resumption::firstRequest);
    long wait = Math.min(ORIGIN_TIMEOUT_MILLIS, remainingMillis());
    var unused =
        forwarder
            .origins()
            .find(first, request.host(), request.path(), wait)
            .thenAccept(
                f -> {
                  if (!ended) {
                    runStep(() -> onOrigin(f));
                  }
                });
  }

  private void onOrigin(StreamOrigins.Found found) {
    if (found instanceof StreamOrigins.Found.Unavailable) {
      refuse(
          Refusal.Kind.NOT_RUN,
          STORE_UNAVAILABLE_RETRY_AFTER_MILLIS,
          "it can't be found out now at which version the stream began");
    } else if (found instanceof StreamOrigins.Found.Known k) {
      StreamOrigin o = k.origin();
      if (!isRoutedTo(o.service())) {
        refuse(Refusal.Kind.NOT_RUN, 0, "the route no longer leads to the service of the stream");
      } else if (forwarder.hasUpstream(o)) {
        goOnAt(o);
      } else {
        awaitUpstream(o);
      }
    } else {
      refuse(Refusal.Kind.NOT_RUN, 0, "it is not known at which version the stream began");
    }
  }

  /** Returns whether the route leads to a service by the configuration of now. */
  private boolean isRoutedTo(String name) {
    return forwarder
        .fleet()
        .table()
        .flatMap(t -> t.route(request.host(), request.path()))
        .filter(r -> r.serviceNames().contains(name))
        .isPresent();
  }

  private void goOnAt(StreamOrigin o) {
    origin = Optional.of(o);
    service = service(o.service());
    begin();
  }

  /** Refuses for good only if the upstreams of now are known. */
  private void awaitUpstream(StreamOrigin o) {
    catchUp(o, areCurrent -> onUpstreams(o, areCurrent));
  }

  /** Asks the store for the upstreams of now, or else relies on what other daemons have told. */
  private void catchUp(StreamOrigin o, Consumer<Boolean> step) {
    long waitMillis = Math.min(StreamOrigins.CATCH_UP_TIMEOUT_MILLIS, remainingMillis());
    var unused =
        forwarder
            .fleet()
            .catchUpWithUpstreams(waitMillis)
            .thenAccept(
                areCurrent -> {
                  if (!ended) {
                    runStep(
                        () -> {
                          if (!areCurrent) {
                            forwarder.useReportedUpstreams(o);
                          }
                          step.accept(areCurrent);
                        });
                  }
                });
  }

  private void onUpstreams(StreamOrigin o, boolean areCurrent) {
    if (forwarder.hasUpstream(o)) {
      goOnAt(o);
    } else {
      refuse(
          Refusal.Kind.NOT_RUN,
          areCurrent ? 0 : STORE_UNAVAILABLE_RETRY_AFTER_MILLIS,
          "no upstream is known that can go on with the stream");
    }
  }

  /** Returns whether the request may be sent to an upstream. */
  private boolean isEligible(UpstreamEntry upstream) {
    return !triedUpstreams.contains(upstream.id())
        && origin.map(o -> o.isContinuedBy(upstream)).orElse(true);
  }

  /**
   * Runs a step of the request and ends the request if the step throws. No later event would end
   * it, and its caller would get no answer.
   */
  private void runStep(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      LOGGER.log(Level.ERROR, "request " + request.id() + " failed", e);
      cancelAttempt("internal error");
      endUnserved("internal error: " + e.getClass().getSimpleName());
    }
  }

  private void begin() {
    forwarder.retryBudget(service.name()).onRequest();
    request.prompt().ifPresent(p -> forwarder.promptSizes(service.name()).add(p.promptTokens()));
    if (forwarder.crashes().isBlocked(this::traits)) {
      endBlocked();
      return;
    }
    if (tokensToReserve() == 0) {
      dispatch();
      return;
    }
    long wait = Math.min(RESERVATION_TIMEOUT_MILLIS, remainingMillis());
    var unused =
        forwarder
            .budgets()
            .reserve(account.orElseThrow().name(), tokensToReserve(), wait)
            .thenAccept(this::onReserved);
  }

  /**
   * Returns the most tokens that the request can consume from a prepaid budget, 0 if it uses none.
   */
  private long tokensToReserve() {
    boolean counted = account.isPresent() && account.get().prepaidTokens().isPresent();
    return counted ? request.prompt().map(PromptShape::worstCaseTokens).orElse(0L) : 0;
  }

  private void onReserved(PrepaidBudgets.Outcome outcome) {
    if (outcome instanceof PrepaidBudgets.Outcome.Reserved) {
      reserved = true;
      if (ended) {
        settle();
      } else {
        dispatch();
      }
    } else if (outcome instanceof PrepaidBudgets.Outcome.Exhausted) {
      refuse(
          forwarder.toTrueRefusal(
              new Refusal(
                  Refusal.Kind.BUDGET_EXHAUSTED,
                  0,
                  "the prepaid tokens do not cover the request")));
    } else if (outcome instanceof PrepaidBudgets.Outcome.HeldElsewhere) {
      refuse(
          Refusal.Kind.NOT_RUN,
          HELD_ELSEWHERE_RETRY_AFTER_MILLIS,
          "other daemons hold the tokens that are left");
    } else if (outcome instanceof PrepaidBudgets.Outcome.Unavailable u) {
      refuse(
          Refusal.Kind.NOT_RUN,
          STORE_UNAVAILABLE_RETRY_AFTER_MILLIS,
          "no tokens can be drawn: " + u.reason());
    }
  }

  /** Returns the traits by which a request that crashes upstreams is recognized. */
  private Set<String> traits() {
    if (knownTraits == null) {
      knownTraits =
          RequestTraits.of(
              account.map(AccountSettings::name).orElse(""),
              request.method() + " " + request.host() + request.target(),
              request.body(),
              request.prompt().map(PromptShape::sharedPartIds).orElse(List.of()));
    }
    return knownTraits;
  }

  private void dispatch() {
    if (!ended) {
      runStep(this::admitAndSend);
    }
  }

  private void admitAndSend() {
    UpstreamCrashes.Admission admission =
        streamPosition.isPresent()
            ? forwarder.crashes().admitResumed(this::traits)
            : forwarder.crashes().admit(this::traits);
    if (admission instanceof UpstreamCrashes.Admission.Refused) {
      endBlocked();
    } else if (admission instanceof UpstreamCrashes.Admission.Later) {
      awaitVerdict();
    } else {
      suspect = admission.suspect();
      send();
    }
  }

  private void endBlocked() {
    endUnserved(new Refusal(Refusal.Kind.CRASHES_UPSTREAMS, 0, CRASHES_UPSTREAMS));
  }

  private void awaitVerdict() {
    long now = forwarder.scheduler().nowMillis();
    suspectSinceMillis = suspectSinceMillis == 0 ? now : suspectSinceMillis;
    if (now - suspectSinceMillis < UpstreamCrashes.MAX_SUSPECT_WAIT_MILLIS) {
      forwarder.scheduler().schedule(UpstreamCrashes.SUSPECT_POLL_MILLIS, this::dispatch);
    } else {
      endUnserved("the cause of recent crashes is examined");
    }
  }

  /** Ends the request if it is blocked and no upstream has begun to answer it. */
  void endIfBlocked() {
    if (ended || attempt == null || streamPosition.isPresent()) {
      return;
    }
    if (!attempt.progress().isAnswering() && forwarder.crashes().isBlocked(this::traits)) {
      cancelAttempt("crashes upstreams");
      endBlocked();
    }
  }

  private void send() {
    Optional<Refusal> noPath = forwarder.checkPath();
    if (noPath.isPresent()) {
      releaseSuspect();
      endUnserved(noPath.get());
      return;
    }
    Optional<UpstreamSelector.Choice> choice =
        suspect
            .map(
                s ->
                    forwarder.chooseUpstreamForSuspect(
                        service.name(), request.prompt(), this::isEligible, s.placementKey()))
            .orElseGet(this::chooseUpstream);
    if (choice.isEmpty() && origin.isPresent() && !hasCaughtUp) {
      hasCaughtUp = true;
      releaseSuspect();
      catchUp(origin.get(), isCurrent -> dispatch());
      return;
    }
    if (choice.isEmpty()) {
      releaseSuspect();
      endWithoutUpstream();
      return;
    }
    suspectSinceMillis = 0;
    attempt = newAttempt(choice.get(), this);
    attempt.start(outgoing());
  }

  private UpstreamTransport.UpstreamRequest outgoing() {
    return new UpstreamTransport.UpstreamRequest(
        request,
        account.map(AccountSettings::name).orElse(""),
        remainingMillis(),
        account.map(a -> a.priority().orElse(route.priority())).orElse(route.priority()),
        streamPosition.map(StreamPosition::lastEventId).orElse(""));
  }

  private ForwardAttempt newAttempt(UpstreamSelector.Choice choice, ForwardAttempt.Owner owner) {
    triedUpstreams.add(choice.candidate().entry().id());
    sentAttempts++;
    request
        .prompt()
        .ifPresent(
            p ->
                choice
                    .candidate()
                    .load()
                    .prefixCache()
                    .recordPrompt(p, service.cacheCapacityTokens()));
    return new ForwardAttempt(forwarder, owner, route, this::traits, choice, streamPosition);
  }

  private Optional<UpstreamSelector.Choice> chooseUpstream() {
    Optional<UpstreamSelector.Choice> recorded =
        mayBeginResumableStream()
            ? chooseUpstream(u -> isEligible(u) && isRecorded(u))
            : Optional.empty();
    return recorded.or(() -> chooseUpstream(this::isEligible));
  }

  private Optional<UpstreamSelector.Choice> chooseUpstream(Predicate<UpstreamEntry> isEligible) {
    return forwarder.chooseUpstream(
        service.name(), request.prompt(), isEligible, maxFirstEventMillis());
  }

  private boolean mayBeginResumableStream() {
    return origin.isEmpty() && route.retryPolicy() == RetryPolicy.RESUMABLE;
  }

  private boolean isRecorded(UpstreamEntry upstream) {
    return forwarder.origins().isRecorded(StreamOrigin.of(upstream));
  }

  /** Returns how late the first event may be expected, which no longer matters once one came. */
  private long maxFirstEventMillis() {
    return streamPosition.isPresent() ? Long.MAX_VALUE : route.targetMillis();
  }

  private void endWithoutUpstream() {
    OptionalLong retryAfter =
        forwarder.limitedRetryMillis(service.name(), request.prompt(), maxFirstEventMillis());
    if (retryAfter.isPresent()) {
      endWithoutUpstream(retryAfter.getAsLong(), "are at their limits or full");
      return;
    }
    OptionalLong pause = forwarder.pausedRetryMillis(service.name());
    OptionalLong room = forwarder.brittleRooms().retryMillis(service.name());
    if (pause.isPresent()) {
      endWithoutUpstream(pause.getAsLong(), "asked for a pause");
    } else if (room.isPresent()) {
      endWithoutUpstream(room.getAsLong(), "are brittle and have no room");
    } else {
      endUnserved("no upstream of " + service.name() + " is left");
    }
  }

  private void endWithoutUpstream(long retryAfterMillis, String state) {
    String reason = "all upstreams of " + service.name() + " " + state;
    endUnserved(new Refusal(Refusal.Kind.NOT_RUN, retryAfterMillis, reason));
  }

  private long remainingMillis() {
    return timeoutAtMillis - forwarder.scheduler().nowMillis();
  }

  @Override
  public void onFullResponse(int status, List<HeaderField> fields, List<byte[]> body) {
    recordAttemptResult("status " + status);
    promptProcessed = true;
    boolean retryable = streamPosition.isPresent() || status >= STATUS_SERVER_ERROR;
    if (retryable && route.retryPolicy().mayRunAgain()) {
      mayHaveRun |= AttemptOutcome.FAILED.mayHaveRun();
      if (retry(AttemptOutcome.FAILED)) {
        return;
      }
    }
    if (streamPosition.isPresent()) {
      endUnserved("the resumed stream got status " + status);
      return;
    }
    isAnswerDelivered = status < STATUS_REDIRECTION;
    caller.respond(status, fields, body);
    finish("status " + status, true);
  }

  @Override
  public void onStreamBegin(int status, List<HeaderField> fields) {
    promptProcessed = true;
    releaseSuspect();
    if (streamPosition.isEmpty()) {
      streamPosition = Optional.of(StreamPosition.start(fields));
      firstEventAtMillis = forwarder.scheduler().nowMillis();
      recordOrigin();
      caller.begin(status, fields);
    }
  }

  private void recordOrigin() {
    if (route.retryPolicy() != RetryPolicy.RESUMABLE) {
      return;
    }
    if (origin.isEmpty() && attempt.isReplaced()) {
      // The event may be that of either instance.
      isOriginUnknown = true;
      return;
    }
    StreamOrigin begun = origin.orElseGet(() -> StreamOrigin.of(attempt.upstream()));
    origin = Optional.of(begun);
    String first = request.resumption().flatMap(Resumption::firstRequest).orElse(request.id());
    forwarder.origins().onBegun(first, begun);
  }

  @Override
  public boolean isPinned() {
    return origin.isPresent();
  }

  @Override
  public boolean onEvent(String id, byte[] bytes) {
    streamPosition = streamPosition.map(p -> p.after(id));
    eventsDelivered++;
    return caller.write(bytes);
  }

  @Override
  public void onStreamComplete() {
    recordAttemptResult("complete");
    caller.end();
    finish("complete", true);
  }

  @Override
  public void onFailed(AttemptOutcome outcome, String reason) {
    final UpstreamEntry upstream = attempt.upstream();
    final boolean mayBeCause =
        outcome == AttemptOutcome.BROKEN
            && (suspect.isPresent() || attempt.progress() == AttemptProgress.STARTED)
            && forwarder.crashes().hasCrashed(upstream);
    recordAttemptResult(outcome + " " + reason);
    uncountUnsent(outcome, upstream);
    mayHaveRun |= outcome.mayHaveRun();
    if (successor.isPresent() && !mayBeCause) {
      successor.get().promote();
      return;
    }
    withdrawSuccessor("not needed");
    if (mayBeCause && streamPosition.isEmpty()) {
      forwarder
          .scheduler()
          .schedule(CRASH_CHECK_MILLIS, () -> retryUnlessCrashed(upstream, outcome, reason));
    } else if (!retry(outcome)) {
      endUnserved(outcome + " " + reason);
    }
  }

  /** Takes an attempt back from the count if it has reached no upstream. */
  private void uncountUnsent(AttemptOutcome outcome, UpstreamEntry upstream) {
    if (!outcome.wasSent()) {
      sentAttempts--;
      unsentAttempts++;
      unreachedUpstreams.add(upstream.id());
    }
    if (outcome == AttemptOutcome.NO_PATH) {
      // They were not reached because of this host and may be reached through another one.
      triedUpstreams.removeAll(unreachedUpstreams);
      unreachedUpstreams.clear();
    }
  }

  /**
   * A request that was started last when its upstream ended, or that was under suspicion, is not
   * sent to another one.
   */
  private void retryUnlessCrashed(UpstreamEntry upstream, AttemptOutcome outcome, String reason) {
    if (!ended && (forwarder.crashes().hasCrashed(upstream) || !retry(outcome))) {
      endUnserved(outcome + " " + reason);
    }
  }

  @Override
  public boolean move() {
    if (successor.isPresent()
        || unsentAttempts >= AttemptPolicy.MAX_UNSENT_ATTEMPTS
        || !mayRetry(AttemptOutcome.SILENT, b -> isMovePaid || b.hasRetry())
        || !isFreeToMove()) {
      return false;
    }
    Optional<UpstreamSelector.Choice> choice = chooseUpstream().filter(this::isHealthy);
    if (choice.isEmpty() || !(isMovePaid || forwarder.retryBudget(service.name()).tryRetry())) {
      return false;
    }
    isMovePaid = false;
    Successor s = new Successor(attempt);
    successor = Optional.of(s);
    s.start(choice.get());
    return successor.isPresent();
  }

  private boolean isFreeToMove() {
    return streamPosition.isPresent()
        ? forwarder.crashes().admitResumed(this::traits) instanceof UpstreamCrashes.Admission.Free
        : forwarder.crashes().isClear(this::traits);
  }

  @Override
  public void onSilenceEnded() {
    withdrawSuccessor("the earlier upstream went on");
  }

  private void withdrawSuccessor(String reason) {
    successor.ifPresent(s -> s.withdraw(reason));
  }

  /**
   * Attempt at another upstream while an earlier one is silent. The earlier one is given up only
   * once this one is accepted: a sound upstream may go on after a silence, and this one may be
   * full.
   */
  private final class Successor implements ForwardAttempt.Owner {

    private final ForwardAttempt earlier;
    private ForwardAttempt own;
    private Cancellable acceptance = () -> {};
    private boolean isPromoted;

    Successor(ForwardAttempt earlier) {
      this.earlier = earlier;
    }

    void start(UpstreamSelector.Choice choice) {
      own = newAttempt(choice, this);
      own.start(outgoing());
    }

    @Override
    public void onConnected() {
      acceptance = forwarder.scheduler().schedule(ACCEPTANCE_MILLIS, this::accept);
    }

    /** Gives the earlier attempt up for this one. */
    private void accept() {
      if (!isPromoted) {
        mayHaveRun = true;
        earlier.cancel();
        recordAttemptResult("SILENT, another upstream has accepted the request");
        promote();
      }
    }

    /** Takes the place of the earlier attempt, which has ended. */
    void promote() {
      isPromoted = true;
      acceptance.cancel();
      successor = Optional.empty();
      attempt = own;
    }

    /** Ends this attempt, since the earlier one goes on or the request has ended. */
    void withdraw(String reason) {
      mayHaveRun = true;
      own.cancel();
      recordResult(own, reason);
      end();
    }

    private void end() {
      acceptance.cancel();
      successor = Optional.empty();
    }

    @Override
    public void onFullResponse(int status, List<HeaderField> fields, List<byte[]> body) {
      if (!isPromoted && (streamPosition.isPresent() || status >= STATUS_SERVER_ERROR)) {
        onRefused(AttemptOutcome.FAILED, "status " + status);
      } else {
        accept();
        ForwardTask.this.onFullResponse(status, fields, body);
      }
    }

    @Override
    public void onFailed(AttemptOutcome outcome, String reason) {
      if (isPromoted) {
        ForwardTask.this.onFailed(outcome, reason);
      } else {
        onRefused(outcome, reason);
      }
    }

    private void onRefused(AttemptOutcome outcome, String reason) {
      recordResult(own, outcome + " " + reason);
      uncountUnsent(outcome, own.upstream());
      mayHaveRun |= outcome.mayHaveRun();
      isMovePaid = !outcome.wasSent();
      end();
      earlier.onMoveFailed();
    }

    @Override
    public void onStreamBegin(int status, List<HeaderField> fields) {
      accept();
      ForwardTask.this.onStreamBegin(status, fields);
    }

    @Override
    public boolean onEvent(String id, byte[] bytes) {
      return ForwardTask.this.onEvent(id, bytes);
    }

    @Override
    public boolean isPinned() {
      return ForwardTask.this.isPinned();
    }

    @Override
    public void onStreamComplete() {
      ForwardTask.this.onStreamComplete();
    }

    @Override
    public boolean move() {
      return isPromoted && ForwardTask.this.move();
    }

    @Override
    public void onSilenceEnded() {
      ForwardTask.this.onSilenceEnded();
    }
  }

  private boolean isHealthy(UpstreamSelector.Choice choice) {
    return !choice.candidate().load().isSuspended(forwarder.scheduler().nowMillis());
  }

  private boolean retry(AttemptOutcome outcome) {
    if (!mayRetry(outcome, RetryBudget::tryRetry)) {
      return false;
    }
    dispatch();
    return true;
  }

  private boolean mayRetry(AttemptOutcome outcome, Predicate<RetryBudget> hasBudget) {
    if (isOriginUnknown || streamPosition.filter(p -> !p.isResumable()).isPresent()) {
      return false;
    }
    AttemptPolicy.State state =
        new AttemptPolicy.State(
            route.retryPolicy(),
            route.maxAttempts(),
            sentAttempts,
            unsentAttempts,
            remainingMillis());
    return AttemptPolicy.mayRetry(
        state, outcome, () -> hasBudget.test(forwarder.retryBudget(service.name())));
  }

  private void recordAttemptResult(String result) {
    recordResult(attempt, result);
    attempt = null;
    releaseSuspect();
  }

  private void recordResult(ForwardAttempt ended, String result) {
    long after = forwarder.scheduler().nowMillis() - arrivalMillis;
    String via = ended.relay().map(r -> " via " + r).orElse("");
    attempts.add(ended.upstream().id(), after, result + via, ended.progress());
  }

  private void releaseSuspect() {
    suspect.ifPresent(forwarder.crashes()::release);
    suspect = Optional.empty();
  }

  private void endUnserved(String reason) {
    endUnserved(new Refusal(Refusal.Kind.NOT_RUN, RETRY_AFTER_MILLIS, reason));
  }

  /** Ends the request with a refusal that holds if no upstream may have run it. */
  private void endUnserved(Refusal refusalIfNotRun) {
    if (ended) {
      return;
    }
    if (streamPosition.isPresent()) {
      caller.abort();
      finish("aborted: " + refusalIfNotRun.detail(), false);
    } else if (mayHaveRun) {
      refuse(Refusal.Kind.FAILED, 0, refusalIfNotRun.detail());
    } else {
      refuse(refusalIfNotRun);
    }
  }

  private void refuse(Refusal.Kind kind, long retryAfterMillis, String reason) {
    refuse(new Refusal(kind, retryAfterMillis, reason));
  }

  private void refuse(Refusal refusal) {
    if (ended) {
      return;
    }
    caller.refuse(refusal);
    finish(refusal.kind() + " " + refusal.detail(), false);
  }

  private void onTimeout() {
    end("time is over");
  }

  /** Ends the request because the process ends. */
  void endAtStop() {
    end("the daemon is stopping");
  }

  private void end(String reason) {
    if (ended) {
      return;
    }
    boolean running = attempt != null;
    cancelAttempt(reason);
    if (streamPosition.isPresent()) {
      caller.abort();
      finish("aborted: " + reason, false);
    } else if (running || mayHaveRun) {
      refuse(Refusal.Kind.TIMED_OUT, 0, reason);
    } else {
      refuse(Refusal.Kind.NOT_RUN, RETRY_AFTER_MILLIS, reason);
    }
  }

  @Override
  public void onCallerDisconnected() {
    if (!ended) {
      cancelAttempt("caller gone");
      finish("caller gone", false);
    }
  }

  @Override
  public void onWritable() {
    if (attempt != null) {
      attempt.proceed();
    }
  }

  private void cancelAttempt(String reason) {
    if (attempt != null) {
      mayHaveRun = true;
      attempt.cancel();
      recordAttemptResult(reason);
    }
  }

  private void finish(String outcome, boolean wasServed) {
    withdrawSuccessor("not needed");
    ended = true;
    timer.cancel();
    logRequest(outcome, settle());
    forwarder.onEnded(this, wasServed);
  }

  /**
   * Charges the prompt if an upstream may have processed it, and the delivered output.
   *
   * @return charged tokens
   */
  private long settle() {
    if (!reserved) {
      return 0;
    }
    reserved = false;
    PromptShape p = request.prompt().orElseThrow();
    long used = promptProcessed || mayHaveRun ? p.promptTokens() + outputTokens(p) : 0;
    forwarder.budgets().settle(account.orElseThrow().name(), p.worstCaseTokens(), used);
    return used;
  }

  /** Returns the tokens of the delivered output, at their most if their number is not known. */
  private long outputTokens(PromptShape prompt) {
    boolean hasOutput = eventsDelivered > 0 || isAnswerDelivered;
    boolean isCounted = !isAnswerDelivered && service.tokensPerEvent() > 0;
    if (hasOutput && !isCounted) {
      return prompt.maxOutputTokens();
    }
    return Math.min(prompt.maxOutputTokens(), eventsDelivered * service.tokensPerEvent());
  }

  private void logRequest(String outcome, long charged) {
    long now = forwarder.scheduler().nowMillis();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", request.id());
    fields.put("route", route.name());
    fields.put("service", service.name());
    fields.put("account", account.map(AccountSettings::name).orElse(""));
    fields.put("version", table.version());
    fields.put("configuration_age_ms", forwarder.fleet().configurationAgeMillis());
    fields.put("upstreams_age_ms", forwarder.fleet().upstreamDataAgeMillis());
    fields.put("deadline_ms", callerDeadlineAtMillis - arrivalMillis);
    fields.put("took_ms", now - arrivalMillis);
    fields.put("first_ms", firstEventAtMillis == 0 ? -1 : firstEventAtMillis - arrivalMillis);
    fields.put("events", eventsDelivered);
    request.resumption().ifPresent(r -> fields.put("resumes", r.firstRequest().orElse("")));
    origin.ifPresent(o -> fields.put("software", o.softwareVersion()));
    request.prompt().ifPresent(p -> fields.put("prompt_tokens", p.promptTokens()));
    fields.put("charged_tokens", charged);
    fields.put("attempts", attempts.results());
    if (mayHaveRun) {
      fields.put("attempt_progress", attempts.progress());
      request.prompt().ifPresent(p -> fields.put("prompt_parts", p.sharedPartIds()));
    }
    fields.put("outcome", outcome);
    forwarder.log().record("request", fields);
  }
}
