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

/** Delivers the answer of a model to one caller. Subclasses say how. */
abstract class ModelAnswer implements AnswerListener {

  /** Counts answers that were ended because the caller went away. */
  static final String CANCELLED = "cancelled";

  final ChatDocuments documents;
  final SettablePromise<HttpResponse> response = new SettablePromise<>();
  private final AnswerCheck check = new AnswerCheck();
  private final DaemonMetrics metrics;
  private final Scheduler scheduler;
  private final long arrivedAt;
  private ModelCall call;
  private boolean isFirstSeen;
  private boolean isEnded;
  private boolean isCancelled;

  /** Ends the serving of a caller that went away; nobody reads the response. */
  static final class CallerGoneException extends Exception {

    private static final long serialVersionUID = 1L;

    CallerGoneException() {
      super("the caller went away", null, false, false);
    }
  }

  ModelAnswer(ChatDocuments documents, DaemonMetrics metrics, Scheduler scheduler) {
    this.documents = documents;
    this.metrics = metrics;
    this.scheduler = scheduler;
    this.arrivedAt = scheduler.nowMillis();
  }

  /** Takes the call; the listener may have been called before. */
  final void attach(ModelCall modelCall) {
    call = modelCall;
    if (isCancelled) {
      modelCall.cancel();
    } else {
      onAttached();
    }
  }

  /** Ends the call because the caller went away. */
  final void cancel() {
    if (isEnded) {
      return;
    }
    isEnded = true;
    isCancelled = true;
    metrics.countRequest(CANCELLED);
    withCall(ModelCall::cancel);
    response.trySetException(new CallerGoneException());
  }

  final Promise<HttpResponse> response() {
    return response;
  }

  @Override
  public final void onPiece(String text) {
    if (isEnded) {
      return;
    }
    if (!isFirstSeen) {
      isFirstSeen = true;
      metrics.recordFirstToken(scheduler.nowMillis() - arrivedAt);
    }
    check.add(text);
    deliver(text);
  }

  @Override
  public final void onComplete(AnswerEnd end) {
    if (isEnded) {
      return;
    }
    if (!check.isWhole(end)) {
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

  final void withCall(Consumer<ModelCall> action) {
    if (call != null) {
      action.accept(call);
    }
  }

  void onAttached() {}

  abstract void deliver(String text);

  abstract void complete(AnswerEnd end);

  abstract void fail(Problem problem);
}
