package org.hibiscusreel.coordination.request;

import java.util.Optional;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.EngineCall;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.EngineEnd;
import org.hibiscusreel.coordination.port.EngineFailure;
import org.hibiscusreel.coordination.port.EngineListener;
import org.hibiscusreel.coordination.port.EngineRequest;
import org.hibiscusreel.core.answer.AnswerAssembler;
import org.hibiscusreel.core.answer.ChunkResult;
import org.hibiscusreel.core.config.Upstream;

/**
 * One attempt to generate an answer at one engine, including resumptions after connection failures.
 */
final class EngineAttempt {
  /**
   * Delays before each resumption. Their sum is below the 10 s after which an engine aborts a
   * stream without a reader.
   */
  private static final long[] RESUME_DELAYS_MILLIS = {50, 200, 500, 1_000, 2_000, 3_000};

  /**
   * Resumptions of a request that can be restarted at another engine; more would take longer than a
   * restart.
   */
  private static final int MAX_RESUMES_BEFORE_RESTART = 2;

  /** Time without a chunk after which the connection is considered broken, in milliseconds. */
  private static final long STALL_TIMEOUT_MILLIS = 20_000;

  /**
   * Receives the results. Exactly one of {@code onComplete}, {@code onRefused} and {@code
   * onStreamLost} is called, as the last call.
   */
  interface Listener {
    void onText(String text);

    /** Returns whether the request can be restarted at another engine. */
    boolean canRestartElsewhere();

    void onComplete(EngineEnd end);

    /** Called when the engine refused the request before it ran anything. */
    void onRefused(EngineFailure failure);

    /** Called when the stream broke and can't be resumed. */
    void onStreamLost(String reason);
  }

  private final RequestContext context;
  private final UpstreamState engine;
  private final AdmittedRequest admittedRequest;
  private final String streamId;
  private final AnswerAssembler assembler;
  private final Listener listener;
  private EngineCall call;
  private Optional<Cancellable> stallTimer = Optional.empty();
  private long lastChunkMillis;
  private Cancellable resumeTimer = () -> {};
  private long connectionNumber;
  private int resumes;
  private boolean started;
  private boolean broken;
  private boolean paused;
  private boolean ended;
  private long startMillis;

  EngineAttempt(
      RequestContext context,
      UpstreamState engine,
      AdmittedRequest admittedRequest,
      AnswerAssembler assembler,
      Listener listener) {
    this.context = context;
    this.engine = engine;
    this.admittedRequest = admittedRequest;
    this.assembler = assembler;
    this.listener = listener;
    this.streamId = context.nextStreamId();
  }

  Upstream upstream() {
    return engine.upstream();
  }

  String streamId() {
    return streamId;
  }

  /** Returns the time since the dispatch in milliseconds. */
  long elapsedMillis() {
    return context.scheduler().nowMillis() - startMillis;
  }

  void start(EngineRequest request) {
    assembler.beginAttempt(streamId);
    startMillis = context.scheduler().nowMillis();
    admittedRequest.record("dispatched", upstream().name(), streamId);
    connect((engines, l) -> engines.start(upstream(), request, l));
  }

  private interface Connector {
    EngineCall connect(EngineClient engines, EngineListener listener);
  }

  private void connect(Connector connector) {
    connectionNumber++;
    call = null;
    recordProgress();
    EngineCall c =
        connector.connect(
            context.dependencies().ports().engines(), new Connection(connectionNumber));
    if (ended) {
      return;
    }
    call = c;
    if (paused) {
      c.pause();
    }
  }

  /** Receives the stream of one connection; calls for an earlier connection are ignored. */
  private final class Connection implements EngineListener {
    private final long number;

    Connection(long number) {
      this.number = number;
    }

    @Override
    public void onPiece(long offset, String text) {
      if (isCurrent()) {
        onChunk(offset, text);
      }
    }

    @Override
    public void onEnd(EngineEnd end) {
      if (!isCurrent()) {
        return;
      }
      if (assembler.isComplete(streamId, end.pieces())) {
        finish();
        listener.onComplete(end);
      } else {
        onBroken("the end mark came before all chunks");
      }
    }

    @Override
    public void onFailure(EngineFailure failure) {
      if (isCurrent()) {
        handleFailure(failure);
      }
    }

    private boolean isCurrent() {
      return !ended && number == connectionNumber;
    }
  }

  private void onChunk(long offset, String text) {
    if (!(assembler.accept(streamId, offset, text) instanceof ChunkResult.Accepted accepted)) {
      return;
    }
    recordProgress();
    resumes = 0;
    broken = false;
    if (!started) {
      started = true;
      engine.onFirstPieceDelay(elapsedMillis(), context.scheduler().nowMillis());
    }
    accepted.texts().forEach(listener::onText);
  }

  private void handleFailure(EngineFailure failure) {
    boolean first = connectionNumber == 1;
    if (failure instanceof EngineFailure.Broken b) {
      onBroken(b.reason());
    } else if (failure instanceof EngineFailure.StreamLost s) {
      endAsNotResumable(s.reason(), true);
    } else if (first) {
      finish();
      if (failure instanceof EngineFailure.NotStarted) {
        engine.onRefusal(context.scheduler().nowMillis());
      }
      listener.onRefused(failure);
    } else if (failure instanceof EngineFailure.NotStarted n) {
      onBroken(n.reason());
    } else {
      endAsNotResumable("the engine refused to resume the stream", false);
    }
  }

  private void onBroken(String reason) {
    reportBreakOnce();
    cancelStallTimer();
    connectionNumber++;
    int limit =
        listener.canRestartElsewhere() ? MAX_RESUMES_BEFORE_RESTART : RESUME_DELAYS_MILLIS.length;
    if (resumes >= limit) {
      endAsNotResumable(reason, false);
      return;
    }
    long delay = RESUME_DELAYS_MILLIS[resumes];
    resumes++;
    resumeTimer = context.scheduler().schedule(delay, this::resume);
  }

  /**
   * Reports the first break since the last chunk; failed resumptions do not count as further
   * breaks.
   */
  private void reportBreakOnce() {
    if (!broken) {
      broken = true;
      context.crashMonitor().onStreamBroken(engine);
    }
  }

  private void resume() {
    if (ended) {
      return;
    }
    long offset = assembler.nextOffset();
    admittedRequest.record("resumed", upstream().name(), streamId + " offset=" + offset);
    connect((engines, l) -> engines.resume(upstream(), streamId, offset, l));
  }

  private void endAsNotResumable(String reason, boolean restarted) {
    reportBreakOnce();
    context.crashMonitor().onStreamsNotResumable(engine, restarted);
    endAsLost(reason);
  }

  /** Ends the attempt. A stall alone does not indicate a crash, since a link can drop packets. */
  private void endAsLost(String reason) {
    engine.onRefusal(context.scheduler().nowMillis());
    finish();
    listener.onStreamLost(reason);
  }

  /**
   * Records progress. One timer covers many chunks, since a timer per chunk costs more than the
   * chunk itself.
   */
  private void recordProgress() {
    lastChunkMillis = context.scheduler().nowMillis();
    if (!paused && stallTimer.isEmpty()) {
      scheduleStallCheck(STALL_TIMEOUT_MILLIS);
    }
  }

  private void scheduleStallCheck(long delayMillis) {
    stallTimer = Optional.of(context.scheduler().schedule(delayMillis, this::checkStall));
  }

  private void checkStall() {
    stallTimer = Optional.empty();
    long left = lastChunkMillis + STALL_TIMEOUT_MILLIS - context.scheduler().nowMillis();
    if (left > 0) {
      scheduleStallCheck(left);
    } else {
      onStall();
    }
  }

  private void cancelStallTimer() {
    stallTimer.ifPresent(Cancellable::cancel);
    stallTimer = Optional.empty();
  }

  private void onStall() {
    if (!ended) {
      if (call != null) {
        call.cancel();
      }
      endAsLost("no chunk came for " + STALL_TIMEOUT_MILLIS + " ms");
    }
  }

  private void finish() {
    ended = true;
    cancelStallTimer();
    resumeTimer.cancel();
    engine.end(admittedRequest.terms().fingerprint());
    context.slotQueue().startWaitingRequests();
  }

  void pause() {
    paused = true;
    cancelStallTimer();
    if (call != null && !ended) {
      call.pause();
    }
  }

  void proceed() {
    paused = false;
    if (!ended) {
      recordProgress();
      if (call != null) {
        call.resumeReading();
      }
    }
  }

  /** Cancels the generation; no listener method is called afterwards. */
  void cancel() {
    if (ended) {
      return;
    }
    if (call != null) {
      call.cancel();
    }
    finish();
  }
}
