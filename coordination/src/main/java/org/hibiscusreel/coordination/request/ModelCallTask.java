package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.EngineEnd;
import org.hibiscusreel.coordination.port.EngineFailure;
import org.hibiscusreel.coordination.port.EngineRequest;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.core.answer.AnswerAssembler;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.crash.CrashDetector.Verdict;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;

/** Serves one admitted call to a model: reservation, dispatch, retries and billing. */
final class ModelCallTask implements ModelCall, SlotQueue.Waiter, EngineAttempt.Listener {
  /** Upper bound of the bytes of prompt text per token, for calls whose engine reports no usage. */
  private static final int BYTES_PER_TOKEN = 4;

  private final RequestContext context;
  private final ModelRequest request;
  private final AdmittedRequest admittedRequest;
  private final AnswerListener listener;
  private final boolean wholeAnswer;
  private final AnswerAssembler assembler = new AnswerAssembler();
  private final List<String> bufferedPieces = new ArrayList<>();
  private final Set<String> excluded = new HashSet<>();
  private EngineAttempt attempt;
  private boolean suspect;
  private boolean mayHaveRun;
  private boolean textSent;
  private boolean paused;
  private boolean done;

  ModelCallTask(
      RequestContext context,
      ModelRequest request,
      AdmittedRequest admittedRequest,
      AnswerListener listener) {
    this.context = context;
    this.request = request;
    this.admittedRequest = admittedRequest;
    this.listener = listener;
    this.wholeAnswer = listener.wantsBufferedAnswer();
  }

  void start() {
    admittedRequest.record("admitted", "", request.model());
    context.retryBudget().onRequest();
    if (!context.upstreams().isServed(requirements())) {
      fail(Problem.notRun(ProblemCode.NO_UPSTREAM, request.model()));
      return;
    }
    long wait = ReservationPolicy.maxWaitMillis(admittedRequest);
    FutureCallbacks.onValue(
        context
            .budgets()
            .reserve(request.key(), request.budget(), admittedRequest.terms().worstCase(), wait),
        this::onReservation);
  }

  private void onReservation(ReservationResult result) {
    if (result instanceof ReservationResult.Granted g) {
      admittedRequest.onReserved(g.reservation());
    }
    if (done) {
      admittedRequest.releaseUnbilled();
      admittedRequest.end(true, Optional.empty());
    } else if (result instanceof ReservationResult.Granted) {
      awaitSlot();
    } else {
      fail(ReservationPolicy.toProblem(result));
    }
  }

  private void awaitSlot() {
    if (admittedRequest.remainingMillis() <= 0) {
      fail(notRunOrUnknown(ProblemCode.DEADLINE_EXCEEDED, "", 0));
      return;
    }
    Verdict verdict = context.crashMonitor().evaluate(request.fingerprint());
    if (verdict == Verdict.BLOCKED) {
      fail(notRunOrUnknown(ProblemCode.REQUEST_CRASHES_UPSTREAMS, "", 0));
      return;
    }
    if (verdict == Verdict.UNDECIDED) {
      fail(
          notRunOrUnknown(
              ProblemCode.OVERLOADED,
              Admission.CRASH_CAUSE_UNDECIDED,
              Admission.RETRY_AFTER_MILLIS));
      return;
    }
    suspect = verdict == Verdict.SUSPECT;
    if (suspect) {
      context.crashMonitor().onSuspectDispatched(request.fingerprint());
    }
    if (context.upstreams().isServed(requirements())) {
      context.slotQueue().startOrEnqueue(this, admittedRequest);
    } else {
      fail(notRunOrUnknown(ProblemCode.NO_UPSTREAM, request.model(), 0));
    }
  }

  @Override
  public UpstreamDirectory.Requirements requirements() {
    return new UpstreamDirectory.Requirements(
        UpstreamKind.ENGINE, request.model(), request.prefixHashes(), excluded, suspect);
  }

  @Override
  public void onSlot() {
    Optional<UpstreamState> engine = context.upstreams().choose(requirements());
    if (engine.isEmpty()) {
      fail(
          notRunOrUnknown(
              ProblemCode.OVERLOADED,
              "no upstream has room",
              context.slotQueue().retryAfterMillis()));
      return;
    }
    dispatch(engine.get());
  }

  @Override
  public void onDropped(boolean late, long retryAfterMillis) {
    ProblemCode code = late ? ProblemCode.DEADLINE_EXCEEDED : ProblemCode.OVERLOADED;
    fail(notRunOrUnknown(code, "dropped while waiting for an upstream", retryAfterMillis));
  }

  private void dispatch(UpstreamState engine) {
    engine.begin(request.fingerprint(), suspect);
    context.upstreams().prefixes().onDispatch(engine.upstream().name(), request.prefixHashes());
    bufferedPieces.clear();
    attempt = new EngineAttempt(context, engine, admittedRequest, assembler, this);
    if (paused && !wholeAnswer) {
      attempt.pause();
    }
    attempt.start(
        new EngineRequest(
            attempt.streamId(), request.body(), metadata(), admittedRequest.terms().priority()));
  }

  private DispatchMetadata metadata() {
    AdmittedRequest.Terms t = admittedRequest.terms();
    return new DispatchMetadata(
        t.key().account(),
        t.key().requestId(),
        t.budget(),
        admittedRequest.reservation().holder(),
        context.self().incarnation(),
        admittedRequest.reservation().id(),
        t.worth(),
        context.self().site(),
        t.fingerprint(),
        admittedRequest.arrivalWallMillis(),
        t.deadlineMillis(),
        t.target());
  }

  @Override
  public void onText(String text) {
    mayHaveRun = true;
    if (wholeAnswer) {
      bufferedPieces.add(text);
    } else {
      textSent = true;
      listener.onPiece(text);
    }
  }

  @Override
  public boolean canRestartElsewhere() {
    return !textSent;
  }

  @Override
  public void onComplete(EngineEnd end) {
    if (done) {
      return;
    }
    done = true;
    context.crashMonitor().onCompleted(request.fingerprint());
    admittedRequest.bill(end.promptTokens(), end.completionTokens());
    context.slotQueue().onCompleted(attempt.elapsedMillis());
    bufferedPieces.forEach(listener::onPiece);
    listener.onComplete(
        new AnswerEnd(
            end.finishReason(),
            end.promptTokens(),
            end.completionTokens(),
            assembler.lengthBytes(),
            assembler.sha256()));
    admittedRequest.end(false, Optional.empty());
  }

  @Override
  public void onRefused(EngineFailure failure) {
    if (failure instanceof EngineFailure.Rejected r) {
      fail(notRunOrUnknown(ProblemCode.MALFORMED_REQUEST, r.detail(), 0));
      return;
    }
    long retryAfter = context.slotQueue().retryAfterMillis();
    if (failure instanceof EngineFailure.NotStarted n && n.retryAfterMillis() > 0) {
      retryAfter = n.retryAfterMillis();
    }
    if (!retry("refused")) {
      fail(notRunOrUnknown(ProblemCode.OVERLOADED, "the upstream refused", retryAfter));
    }
  }

  @Override
  public void onStreamLost(String reason) {
    mayHaveRun = true;
    if (textSent || !retry(reason)) {
      Ran ran = assembler.nextOffset() > 0 ? Ran.YES : Ran.UNKNOWN;
      fail(Problem.of(ProblemCode.ANSWER_INCOMPLETE, ran, reason));
    }
  }

  /** Restarts the request at another engine, if one exists and the retry budget allows it. */
  private boolean retry(String reason) {
    excluded.add(attempt.upstream().name());
    boolean possible =
        admittedRequest.remainingMillis() > 0 && context.upstreams().isServed(requirements());
    if (!possible || !context.retryBudget().tryRetry()) {
      return false;
    }
    admittedRequest.record("retried", attempt.upstream().name(), reason);
    awaitSlot();
    return true;
  }

  private Problem notRunOrUnknown(ProblemCode code, String detail, long retryAfterMillis) {
    Ran ran = mayHaveRun ? Ran.UNKNOWN : Ran.NO;
    OptionalLong retry =
        retryAfterMillis > 0 ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty();
    return new Problem(code, ran, detail, retry);
  }

  private void fail(Problem problem) {
    if (done) {
      return;
    }
    done = true;
    admittedRequest.releaseUnbilled();
    listener.onProblem(problem);
    admittedRequest.end(false, Optional.of(problem));
  }

  @Override
  public void pause() {
    paused = true;
    if (attempt != null && !wholeAnswer) {
      attempt.pause();
    }
  }

  @Override
  public void resumeReading() {
    paused = false;
    if (attempt != null && !wholeAnswer) {
      attempt.proceed();
    }
  }

  @Override
  public void cancel() {
    if (done) {
      return;
    }
    done = true;
    if (admittedRequest.reservation() == null) {
      // The request ends when the result of the reservation arrives.
      return;
    }
    if (context.slotQueue().remove(this) || attempt == null) {
      admittedRequest.releaseUnbilled();
      admittedRequest.end(true, Optional.empty());
      return;
    }
    attempt.cancel();
    context.cancelledUsage().find(attempt.upstream(), attempt.streamId(), this::settleCancelled);
  }

  /**
   * Bills the generated tokens: those that the engine recorded, otherwise those of the received
   * chunks.
   */
  private void settleCancelled(Optional<UsageRecord> usage) {
    long prompt = (request.promptBytes() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    long completion = assembler.nextOffset();
    if (usage.isPresent()) {
      prompt = usage.get().promptTokens();
      completion = Math.max(completion, usage.get().completionTokens());
    }
    if (completion > 0) {
      admittedRequest.bill(prompt, completion);
    } else {
      admittedRequest.releaseUnbilled();
    }
    admittedRequest.end(true, Optional.empty());
  }
}
