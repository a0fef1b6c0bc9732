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

/** One attempt to generate an answer at one engine, with its resumptions after a break. */
final class EngineAttempt {
  /** Together shorter than the 10 s after which an engine aborts a stream without a reader. */
  private static final long[] RESUME_MILLIS = {50, 200, 500, 1_000, 2_000, 3_000};

  /** Resumptions of a request that can be started anew elsewhere; waiting longer costs more. */
  private static final int MOVABLE_RESUMES = 2;

  /** Time without a chunk after which the connection is taken for broken. */
  private static final long STALL_MILLIS = 20_000;

  /** What the attempt reports. Exactly one of the last three is called, last. */
  interface Listener {
    void onText(String text);

    /** Tells whether another engine could start the request anew. */
    boolean isMovable();

    void onComplete(EngineEnd end);

    /** The engine refused before it ran anything. */
    void onRefused(EngineFailure failure);

    /** The stream broke and can't be resumed. */
    void onLost(String reason);
  }

  private final RequestContext context;
  private final UpstreamState engine;
  private final Ticket ticket;
  private final String streamId;
  private final AnswerAssembler assembler;
  private final Listener listener;
  private EngineCall call;
  private Optional<Cancellable> stall = Optional.empty();
  private long lastChunkMillis;
  private Cancellable resume = () -> {};
  private long connection;
  private int resumes;
  private boolean started;
  private boolean broken;
  private boolean paused;
  private boolean ended;
  private long startedAt;

  EngineAttempt(
      RequestContext context,
      UpstreamState engine,
      Ticket ticket,
      AnswerAssembler assembler,
      Listener listener) {
    this.context = context;
    this.engine = engine;
    this.ticket = ticket;
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
    return context.scheduler().nowMillis() - startedAt;
  }

  void start(EngineRequest request) {
    assembler.begin(streamId);
    startedAt = context.scheduler().nowMillis();
    ticket.record("dispatched", upstream().name(), streamId);
    connect((engines, l) -> engines.start(upstream(), request, l));
  }

  private interface Connector {
    EngineCall connect(EngineClient engines, EngineListener listener);
  }

  private void connect(Connector connector) {
    connection++;
    call = null;
    armStall();
    EngineCall c =
        connector.connect(context.dependencies().ports().engines(), new Connection(connection));
    if (ended) {
      return;
    }
    call = c;
    if (paused) {
      c.pause();
    }
  }

  /** Receives one connection; what an earlier one still delivers is ignored. */
  private final class Connection implements EngineListener {
    private final long number;

    Connection(long number) {
      this.number = number;
    }

    @Override
    public void onPiece(long offset, String text) {
      if (isCurrent()) {
        accept(offset, text);
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
        failed(failure);
      }
    }

    private boolean isCurrent() {
      return !ended && number == connection;
    }
  }

  private void accept(long offset, String text) {
    if (!(assembler.accept(streamId, offset, text) instanceof ChunkResult.Accepted accepted)) {
      return;
    }
    armStall();
    resumes = 0;
    broken = false;
    if (!started) {
      started = true;
      engine.onDelay(elapsedMillis(), context.scheduler().nowMillis());
    }
    accepted.texts().forEach(listener::onText);
  }

  private void failed(EngineFailure failure) {
    boolean first = connection == 1;
    if (failure instanceof EngineFailure.Broken b) {
      onBroken(b.reason());
    } else if (failure instanceof EngineFailure.StreamLost s) {
      notResumable(s.reason(), true);
    } else if (first) {
      finish();
      if (failure instanceof EngineFailure.NotStarted) {
        engine.onRefusal(context.scheduler().nowMillis());
      }
      listener.onRefused(failure);
    } else if (failure instanceof EngineFailure.NotStarted n) {
      onBroken(n.reason());
    } else {
      notResumable("the engine refused to resume the stream", false);
    }
  }

  private void onBroken(String reason) {
    noteBreak();
    disarmStall();
    connection++;
    int limit = listener.isMovable() ? MOVABLE_RESUMES : RESUME_MILLIS.length;
    if (resumes >= limit) {
      notResumable(reason, false);
      return;
    }
    long delay = RESUME_MILLIS[resumes];
    resumes++;
    resume = context.scheduler().schedule(delay, this::resume);
  }

  /** Tells of the first break since the last chunk; failed resumptions are no further breaks. */
  private void noteBreak() {
    if (!broken) {
      broken = true;
      context.crashes().onBroken(engine);
    }
  }

  private void resume() {
    if (ended) {
      return;
    }
    long offset = assembler.nextOffset();
    ticket.record("resumed", upstream().name(), streamId + " offset=" + offset);
    connect((engines, l) -> engines.resume(upstream(), streamId, offset, l));
  }

  private void notResumable(String reason, boolean restarted) {
    noteBreak();
    context.crashes().onNotResumable(engine, restarted);
    lost(reason);
  }

  /** Ends the attempt. Silence alone is no sign of a crash, since a link can drop packets. */
  private void lost(String reason) {
    engine.onRefusal(context.scheduler().nowMillis());
    finish();
    listener.onLost(reason);
  }

  /** Notes progress. One timer serves many chunks, since a timer for each costs more than it. */
  private void armStall() {
    lastChunkMillis = context.scheduler().nowMillis();
    if (!paused && stall.isEmpty()) {
      scheduleStall(STALL_MILLIS);
    }
  }

  private void scheduleStall(long delayMillis) {
    stall = Optional.of(context.scheduler().schedule(delayMillis, this::checkStall));
  }

  private void checkStall() {
    stall = Optional.empty();
    long left = lastChunkMillis + STALL_MILLIS - context.scheduler().nowMillis();
    if (left > 0) {
      scheduleStall(left);
    } else {
      onStall();
    }
  }

  private void disarmStall() {
    stall.ifPresent(Cancellable::cancel);
    stall = Optional.empty();
  }

  private void onStall() {
    if (!ended) {
      if (call != null) {
        call.cancel();
      }
      lost("no chunk came for " + STALL_MILLIS + " ms");
    }
  }

  private void finish() {
    ended = true;
    disarmStall();
    resume.cancel();
    engine.end(ticket.terms().fingerprint());
    context.slots().drain();
  }

  void pause() {
    paused = true;
    disarmStall();
    if (call != null && !ended) {
      call.pause();
    }
  }

  void proceed() {
    paused = false;
    if (!ended) {
      armStall();
      if (call != null) {
        call.proceed();
      }
    }
  }

  /** Stops the generation; no listener method is called afterwards. */
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
