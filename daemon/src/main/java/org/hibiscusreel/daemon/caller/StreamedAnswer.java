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
 * Delivers an answer as server-sent events. For a slow caller about {@value #HIGH_WATER_MARK_BYTES}
 * bytes are buffered before the upstream is paused.
 */
final class StreamedAnswer extends ModelAnswer {

  /** Number of buffered bytes at which the upstream is paused until the caller reads. */
  static final int HIGH_WATER_MARK_BYTES = 64 * 1024;

  private final CallerConnections.TrackedConnection connection;
  private final Scheduler scheduler;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private SettablePromise<ByteBuf> pendingRead;
  private Cancellable stallTimer;
  private boolean isOpen;
  private boolean isPaused;
  private boolean isLastEventAdded;

  StreamedAnswer(
      ChatResponseWriter responseWriter,
      DaemonMetrics metrics,
      Scheduler scheduler,
      CallerConnections.TrackedConnection connection) {
    super(responseWriter, metrics, scheduler);
    this.scheduler = scheduler;
    this.connection = connection;
  }

  @Override
  void onCallSet() {
    if (isPaused) {
      applyToCall(ModelCall::pause);
    }
  }

  @Override
  void deliver(String text) {
    open();
    append(responseWriter.chunkEvent(text));
    if (buffered.size() >= HIGH_WATER_MARK_BYTES && !isPaused) {
      isPaused = true;
      applyToCall(ModelCall::pause);
    }
  }

  @Override
  void complete(AnswerEnd end) {
    open();
    isLastEventAdded = true;
    append(responseWriter.finalEvents(end));
  }

  @Override
  void fail(Problem problem) {
    if (!isOpen) {
      response.trySet(ProblemDocuments.toResponse(problem, responseWriter.requestId()));
      return;
    }
    isLastEventAdded = true;
    append(ChatResponseWriter.error(ProblemDocuments.toJson(problem, responseWriter.requestId())));
  }

  /**
   * Sends the headers with the first event, so that a problem before it is sent with its own HTTP
   * status.
   */
  private void open() {
    if (isOpen) {
      return;
    }
    isOpen = true;
    response.trySet(
        HttpResponse.ok200()
            .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
            .withHeader(HttpHeaders.CACHE_CONTROL, "no-store")
            .withHeader(ProblemDocuments.REQUEST_ID, responseWriter.requestId())
            .withBodyStream(new Body())
            .build());
    connection.markStreamed();
  }

  private void append(byte[] bytes) {
    buffered.writeBytes(bytes);
    if (pendingRead != null) {
      SettablePromise<ByteBuf> read = pendingRead;
      pendingRead = null;
      read.set(drainBuffered());
    }
  }

  private ByteBuf drainBuffered() {
    final ByteBuf buffer = ByteBuf.wrapForReading(buffered.toByteArray());
    buffered.reset();
    // ActiveJ asks for the next buffer when these bytes are written; until then the caller may
    // stall.
    stallTimer = scheduler.schedule(CallerConnections.WRITE_TIMEOUT_MILLIS, connection::close);
    if (isPaused) {
      isPaused = false;
      applyToCall(ModelCall::resumeReading);
    }
    return buffer;
  }

  private void cancelStallTimer() {
    if (stallTimer != null) {
      stallTimer.cancel();
      stallTimer = null;
    }
  }

  private final class Body extends AbstractChannelSupplier<ByteBuf> {

    @Override
    protected Promise<ByteBuf> doGet() {
      cancelStallTimer();
      if (buffered.size() > 0) {
        return Promise.of(drainBuffered());
      }
      if (isLastEventAdded) {
        return Promise.of(null);
      }
      pendingRead = new SettablePromise<>();
      return pendingRead;
    }

    @Override
    protected void onClosed(Exception e) {
      cancelStallTimer();
      pendingRead = null;
      cancel();
    }
  }
}
