package org.hibiscusreel.daemon.caller;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.coordination.request.AnswerListener;
import org.hibiscusreel.coordination.request.ModelCall;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;

/** Delivers the answer of a model to one caller. Subclasses define the form of the response. */
abstract class ModelAnswer implements AnswerListener {

  /** Outcome in the metrics of an answer that was cancelled because the caller disconnected. */
  static final String CANCELLED = "cancelled";

  final ChatResponseWriter responseWriter;
  final SettablePromise<HttpResponse> response = new SettablePromise<>();
  private final AnswerVerifier verifier = new AnswerVerifier();
  private final DaemonMetrics metrics;
  private final Scheduler scheduler;
  private final long arrivedAtMillis;
  private ModelCall call;
  private boolean isFirstPieceReceived;
  private boolean isEnded;
  private boolean isCancelled;

  /** Completes the response of a caller that disconnected; the response is never sent. */
  static final class CallerDisconnectedException extends Exception {

    private static final long serialVersionUID = 1L;

    CallerDisconnectedException() {
      super("the caller went away", null, false, false);
    }
  }

  ModelAnswer(ChatResponseWriter responseWriter, DaemonMetrics metrics, Scheduler scheduler) {
    this.responseWriter = responseWriter;
    this.metrics = metrics;
    this.scheduler = scheduler;
    this.arrivedAtMillis = scheduler.nowMillis();
  }

  /** Sets the call. The methods of the listener may have been called before. */
  final void setCall(ModelCall modelCall) {
    call = modelCall;
    if (isCancelled) {
      modelCall.cancel();
    } else {
      onCallSet();
    }
  }

  /** Cancels the call because the caller disconnected. */
  final void cancel() {
    if (isEnded) {
      return;
    }
    isEnded = true;
    isCancelled = true;
    metrics.countRequest(CANCELLED);
    applyToCall(ModelCall::cancel);
    response.trySetException(new CallerDisconnectedException());
  }

  final Promise<HttpResponse> response() {
    return response;
  }

  @Override
  public final void onPiece(String text) {
    if (isEnded) {
      return;
    }
    if (!isFirstPieceReceived) {
      isFirstPieceReceived = true;
      metrics.recordFirstToken(scheduler.nowMillis() - arrivedAtMillis);
    }
    verifier.add(text);
    deliver(text);
  }

  @Override
  public final void onComplete(AnswerEnd end) {
    if (isEnded) {
      return;
    }
    if (!verifier.isComplete(end)) {
      onProblem(
          Problem.of(ProblemCode.ANSWER_INCOMPLETE, Ran.YES, "the text differs from its end mark"));
      return;
    }
    isEnded = true;
    metrics.countRequest("ok");
    metrics.countTokens(end.promptTokens(), end.completionTokens());
    complete(end);
  }

  @Override
  public final void onProblem(Problem problem) {
    if (isEnded) {
      return;
    }
    isEnded = true;
    metrics.countRequest(problem.code().toField());
    fail(problem);
  }

  final void applyToCall(Consumer<ModelCall> action) {
    if (call != null) {
      action.accept(call);
    }
  }

  void onCallSet() {}

  abstract void deliver(String text);

  abstract void complete(AnswerEnd end);

  abstract void fail(Problem problem);
}
