package org.hibiscusreel.daemon.caller;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;

/** Delivers an answer as one JSON document. Its size is bounded by the token limit. */
final class WholeAnswer extends ModelAnswer {

  private final StringBuilder text = new StringBuilder();

  WholeAnswer(ChatDocuments documents, DaemonMetrics metrics, Scheduler scheduler) {
    super(documents, metrics, scheduler);
  }

  @Override
  public boolean wantsWholeAnswer() {
    return true;
  }

  @Override
  void deliver(String piece) {
    text.append(piece);
  }

  @Override
  void complete(AnswerEnd end) {
    response.trySet(
        HttpResponse.ok200()
            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
            .withHeader(ProblemDocuments.REQUEST_ID, documents.requestId())
            .withBody(documents.whole(text.toString(), end))
            .build());
  }

  @Override
  void fail(Problem problem) {
    response.trySet(ProblemDocuments.toResponse(problem, documents.requestId()));
  }
}
