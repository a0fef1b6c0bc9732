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
import org.hibiscusreel.core.crash.CrashFingerprints.Verdict;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;

/** The life of one admitted call to a model. */
final class ModelCallTask implements ModelCall, SlotQueue.Waiter, EngineAttempt.Listener {
  /** Upper bound of the bytes of prompt text per token, for calls whose engine does not tell. */
  private static final int BYTES_PER_TOKEN = 4;

  private final RequestContext context;
  private final ModelRequest request;
  private final Ticket ticket;
  private final AnswerListener listener;
  private final boolean whole;
  private final AnswerAssembler assembler = new AnswerAssembler();
  private final List<String> heldBack = new ArrayList<>();
  private final Set<String> excluded = new HashSet<>();
  private EngineAttempt attempt;
  private boolean suspect;
  private boolean mayHaveRun;
  private boolean sent;
  private boolean paused;
  private boolean done;

  ModelCallTask(
      RequestContext context, ModelRequest request, Ticket ticket, AnswerListener listener) {
    this.context = context;
    this.request = request;
    this.ticket = ticket;
    this.listener = listener;
    this.whole = listener.wantsWholeAnswer();
  }

  void start() {
    ticket.record("admitted", "", request.model());
    context.retries().onRequest();
    if (!context.upstreams().isServed(wanted())) {
      fail(Problem.notRun(ProblemCode.NO_UPSTREAM, request.model()));
      return;
    }
    long wait = Reserving.waitMillis(ticket);
    FutureCallbacks.onValue(
        context
            .budgets()
            .reserve(request.key(), request.budget(), ticket.terms().worstCase(), wait),
        this::onReservation);
  }

  private void onReservation(ReservationResult result) {
    if (result instanceof ReservationResult.Granted g) {
      ticket.reserved(g.reservation());
    }
    if (done) {
      ticket.closeUnbilled();
      ticket.end(true, Optional.empty());
    } else if (result instanceof ReservationResult.Granted) {
      awaitSlot();
    } else {
      fail(Reserving.toProblem(result));
    }
  }

  private void awaitSlot() {
    if (ticket.remainingMillis() <= 0) {
      fail(notRunOrUnknown(ProblemCode.DEADLINE_EXCEEDED, "", 0));
      return;
    }
    Verdict verdict = context.crashes().judge(request.fingerprint());
    if (verdict == Verdict.BLOCKED) {
      fail(notRunOrUnknown(ProblemCode.REQUEST_CRASHES_UPSTREAMS, "", 0));
      return;
    }
    if (verdict == Verdict.UNDECIDED) {
      fail(notRunOrUnknown(ProblemCode.OVERLOADED, Admission.UNDECIDED, Admission.RETRY_MILLIS));
      return;
    }
    suspect = verdict == Verdict.SUSPECT;
    if (context.upstreams().isServed(wanted())) {
      context.slots().enter(this, ticket);
    } else {
      fail(notRunOrUnknown(ProblemCode.NO_UPSTREAM, request.model(), 0));
    }
  }

  @Override
  public UpstreamDirectory.Wanted wanted() {
    return new UpstreamDirectory.Wanted(
        UpstreamKind.ENGINE, request.model(), request.prefixHashes(), excluded, suspect);
  }

  @Override
  public void onSlot() {
    Optional<UpstreamState> engine = context.upstreams().choose(wanted());
    if (engine.isEmpty()) {
      fail(
          notRunOrUnknown(
              ProblemCode.OVERLOADED, "no upstream has room", context.slots().retryAfterMillis()));
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
    heldBack.clear();
    attempt = new EngineAttempt(context, engine, ticket, assembler, this);
    if (paused && !whole) {
      attempt.pause();
    }
    attempt.start(
        new EngineRequest(
            attempt.streamId(), request.body(), metadata(), ticket.terms().priority()));
  }

  private DispatchMetadata metadata() {
    Ticket.Terms t = ticket.terms();
    return new DispatchMetadata(
        t.key().account(),
        t.key().requestId(),
        t.budget(),
        ticket.reservation().holder(),
        context.self().incarnation(),
        ticket.reservation().id(),
        t.worth(),
        context.self().site(),
        t.fingerprint(),
        ticket.arrivedWall(),
        t.deadlineMillis(),
        t.target());
  }

  @Override
  public void onText(String text) {
    mayHaveRun = true;
    if (whole) {
      heldBack.add(text);
    } else {
      sent = true;
      listener.onPiece(text);
    }
  }

  @Override
  public boolean isMovable() {
    return !sent;
  }

  @Override
  public void onComplete(EngineEnd end) {
    if (done) {
      return;
    }
    done = true;
    context.crashes().onCompleted(request.fingerprint());
    ticket.bill(end.promptTokens(), end.completionTokens());
    context.slots().onCompleted(attempt.elapsedMillis());
    heldBack.forEach(listener::onPiece);
    listener.onComplete(
        new AnswerEnd(
            end.finishReason(),
            end.promptTokens(),
            end.completionTokens(),
            assembler.lengthBytes(),
            assembler.sha256()));
    ticket.end(false, Optional.empty());
  }

  @Override
  public void onRefused(EngineFailure failure) {
    if (failure instanceof EngineFailure.Rejected r) {
      fail(notRunOrUnknown(ProblemCode.MALFORMED_REQUEST, r.detail(), 0));
      return;
    }
    long retryAfter = context.slots().retryAfterMillis();
    if (failure instanceof EngineFailure.NotStarted n && n.retryAfterMillis() > 0) {
      retryAfter = n.retryAfterMillis();
    }
    if (!retry("refused")) {
      fail(notRunOrUnknown(ProblemCode.OVERLOADED, "the upstream refused", retryAfter));
    }
  }

  @Override
  public void onLost(String reason) {
    mayHaveRun = true;
    if (sent || !retry(reason)) {
      Ran ran = assembler.nextOffset() > 0 ? Ran.YES : Ran.UNKNOWN;
      fail(Problem.of(ProblemCode.ANSWER_INCOMPLETE, ran, reason));
    }
  }

  /** Starts anew at another engine, if one exists and the retry budget allows it. */
  private boolean retry(String reason) {
    excluded.add(attempt.upstream().name());
    boolean possible = ticket.remainingMillis() > 0 && context.upstreams().isServed(wanted());
    if (!possible || !context.retries().tryRetry()) {
      return false;
    }
    ticket.record("retried", attempt.upstream().name(), reason);
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
    ticket.closeUnbilled();
    listener.onProblem(problem);
    ticket.end(false, Optional.of(problem));
  }

  @Override
  public void pause() {
    paused = true;
    if (attempt != null && !whole) {
      attempt.pause();
    }
  }

  @Override
  public void proceed() {
    paused = false;
    if (attempt != null && !whole) {
      attempt.proceed();
    }
  }

  @Override
  public void cancel() {
    if (done) {
      return;
    }
    done = true;
    if (ticket.reservation() == null) {
      // The request ends when the result of its reservation arrives.
      return;
    }
    if (context.slots().leave(this) || attempt == null) {
      ticket.closeUnbilled();
      ticket.end(true, Optional.empty());
      return;
    }
    attempt.cancel();
    context.cancelledUsage().find(attempt.upstream(), attempt.streamId(), this::settleCancelled);
  }

  /** Bills what was generated: as the engine recorded it, otherwise as far as chunks arrived. */
  private void settleCancelled(Optional<UsageRecord> usage) {
    long prompt = (request.promptBytes() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    long completion = assembler.nextOffset();
    if (usage.isPresent()) {
      prompt = usage.get().promptTokens();
      completion = Math.max(completion, usage.get().completionTokens());
    }
    if (completion > 0) {
      ticket.bill(prompt, completion);
    } else {
      ticket.closeUnbilled();
    }
    ticket.end(true, Optional.empty());
  }
}
