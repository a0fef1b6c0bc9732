package org.hibiscusreel.daemon.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.coordination.request.ModelCall;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;

/**
 * Delivers an answer as server-sent events. At most about {@value #HIGH_BYTES} bytes wait for a
 * slow caller; then the upstream is paused.
 */
final class StreamedAnswer extends ModelAnswer {

  /** The upstream is paused when this many bytes wait. */
  static final int HIGH_BYTES = 64 * 1024;

  private final CallerConnections.Entry connection;
  private final Scheduler scheduler;
  private final ByteArrayOutputStream waiting = new ByteArrayOutputStream();
  private SettablePromise<ByteBuf> reader;
  private Cancellable stalled;
  private boolean isOpen;
  private boolean isPaused;
  private boolean isLastAdded;

  StreamedAnswer(
      ChatDocuments documents,
      DaemonMetrics metrics,
      Scheduler scheduler,
      CallerConnections.Entry connection) {
    super(documents, metrics, scheduler);
    this.scheduler = scheduler;
    this.connection = connection;
  }

  @Override
  void onAttached() {
    if (isPaused) {
      withCall(ModelCall::pause);
    }
  }

  @Override
  void deliver(String text) {
    open();
    add(documents.piece(text));
    if (waiting.size() >= HIGH_BYTES && !isPaused) {
      isPaused = true;
      withCall(ModelCall::pause);
    }
  }

  @Override
  void complete(AnswerEnd end) {
    open();
    isLastAdded = true;
    add(documents.end(end));
  }

  @Override
  void fail(Problem problem) {
    if (!isOpen) {
      response.trySet(ProblemDocuments.toResponse(problem, documents.requestId()));
      return;
    }
    isLastAdded = true;
    add(ChatDocuments.error(ProblemDocuments.toJson(problem, documents.requestId())));
  }

  /** Sends the headers with the first piece, so that an early refusal has its own status. */
  private void open() {
    if (isOpen) {
      return;
    }
    isOpen = true;
    response.trySet(
        HttpResponse.ok200()
            .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
            .withHeader(HttpHeaders.CACHE_CONTROL, "no-store")
            .withHeader(ProblemDocuments.REQUEST_ID, documents.requestId())
            .withBodyStream(new Body())
            .build());
    connection.markStreamed();
  }

  private void add(byte[] bytes) {
    waiting.writeBytes(bytes);
    if (reader != null) {
      SettablePromise<ByteBuf> r = reader;
      reader = null;
      r.set(take());
    }
  }

  private ByteBuf take() {
    final ByteBuf b = ByteBuf.wrapForReading(waiting.toByteArray());
    waiting.reset();
    // The next read comes when these bytes are written.
    stalled = scheduler.schedule(CallerConnections.WRITE_TIMEOUT_MILLIS, connection::close);
    if (isPaused) {
      isPaused = false;
      withCall(ModelCall::proceed);
    }
    return b;
  }

  private void stopTimer() {
    if (stalled != null) {
      stalled.cancel();
      stalled = null;
    }
  }

  private final class Body extends AbstractChannelSupplier<ByteBuf> {

    @Override
    protected Promise<ByteBuf> doGet() {
      stopTimer();
      if (waiting.size() > 0) {
        return Promise.of(take());
      }
      if (isLastAdded) {
        return Promise.of(null);
      }
      reader = new SettablePromise<>();
      return reader;
    }

    @Override
    protected void onClosed(Exception e) {
      stopTimer();
      reader = null;
      cancel();
    }
  }
}
