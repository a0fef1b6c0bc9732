package org.hibiscusreel.daemon.caller;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;

/** Buffers an answer and delivers it as one JSON document. The token limit bounds its size. */
final class BufferedAnswer extends ModelAnswer {

  private final StringBuilder text = new StringBuilder();

  BufferedAnswer(ChatResponseWriter responseWriter, DaemonMetrics metrics, Scheduler scheduler) {
    super(responseWriter, metrics, scheduler);
  }

  @Override
  public boolean wantsBufferedAnswer() {
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
            .withHeader(ProblemDocuments.REQUEST_ID, responseWriter.requestId())
            .withBody(responseWriter.completeDocument(text.toString(), end))
            .build());
  }

  @Override
  void fail(Problem problem) {
    response.trySet(ProblemDocuments.toResponse(problem, responseWriter.requestId()));
  }
}
