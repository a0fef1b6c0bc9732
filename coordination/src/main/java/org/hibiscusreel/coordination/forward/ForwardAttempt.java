package org.hibiscusreel.coordination.forward;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamLoad;

/** One request at one upstream. Tells its owner exactly one of the endings, unless cancelled. */
final class ForwardAttempt implements UpstreamTransport.Listener {

  /** Interval of the checks for a silent upstream, in milliseconds. */
  static final long CHECK_INTERVAL_MILLIS = 200;

  /** An upstream that failed for others is not waited for longer than this, in milliseconds. */
  static final long SUSPECT_SILENCE_MILLIS = 800;

  /** A stream that pauses for this many times its longest good pause is taken elsewhere. */
  static final long PAUSE_FACTOR = 5;

  /** A repeatable request without an answer after this many times its target is taken elsewhere. */
  static final long TARGET_FACTOR = 3;

  /** Receives what becomes of an attempt. */
  interface Owner {

    /** A whole answer that is no stream. */
    void onWhole(int status, List<HeaderField> fields, byte[] body);

    /** The first event of a stream is there. */
    void onBegin(int status, List<HeaderField> fields);

    /** An event; returns false if enough waits for the caller. */
    boolean onEvent(String id, byte[] bytes);

    /** The stream is complete. */
    void onComplete();

    /** The attempt failed. */
    void onFailed(AttemptOutcome outcome, String reason);
  }

  private static final int STATUS_OK = 200;

  private final Forwarder forwarder;
  private final Owner owner;
  private final Route route;
  private final UpstreamEntry upstream;
  private final UpstreamLoad load;
  private final long tokensToRead;
  private final String resumedAfter;
  private final EventFramer framer = new EventFramer(this::onEvent);
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private UpstreamTransport.Exchange exchange;
  private Cancellable check = () -> {};
  private int status;
  private List<HeaderField> fields = List.of();
  private boolean isRead;
  private boolean isPaused;
  private boolean ended;
  private long lastNewsAt;

  ForwardAttempt(
      Forwarder forwarder,
      Owner owner,
      Route route,
      UpstreamEntry upstream,
      long tokensToRead,
      String resumedAfter) {
    this.forwarder = forwarder;
    this.owner = owner;
    this.route = route;
    this.upstream = upstream;
    this.load = forwarder.loads().own(upstream.id());
    this.tokensToRead = tokensToRead;
    this.resumedAfter = resumedAfter;
  }

  UpstreamEntry upstream() {
    return upstream;
  }

  void start(UpstreamTransport.Outgoing outgoing) {
    load.onSent(tokensToRead);
    forwarder.loads().onChanged();
    lastNewsAt = forwarder.scheduler().nowMillis();
    exchange = forwarder.transport().send(upstream, outgoing, this);
    scheduleCheck();
  }

  void proceed() {
    isPaused = false;
    lastNewsAt = forwarder.scheduler().nowMillis();
    exchange.proceed();
  }

  void cancel() {
    if (!ended) {
      end();
      exchange.cancel();
    }
  }

  @Override
  public void onHead(int headStatus, List<HeaderField> headFields) {
    noteNews();
    status = headStatus;
    fields = headFields;
  }

  @Override
  public void onBytes(byte[] bytes) {
    noteNews();
    if (ended) {
      return;
    }
    if (isStream()) {
      framer.accept(bytes);
    } else {
      whole.writeBytes(bytes);
    }
  }

  private boolean isStream() {
    return route.streamed() && status == STATUS_OK;
  }

  private void onEvent(String id, byte[] bytes) {
    if (ended || isOld(id)) {
      return;
    }
    markRead();
    load.onSuccess();
    owner.onBegin(status, fields);
    if (!owner.onEvent(id, bytes)) {
      isPaused = true;
      exchange.pause();
    }
  }

  /** Tells whether the caller already has an event, so that a resumed stream repeats nothing. */
  private boolean isOld(String id) {
    if (resumedAfter.isEmpty() || id.isEmpty()) {
      return false;
    }
    return id.length() < resumedAfter.length()
        || (id.length() == resumedAfter.length() && id.compareTo(resumedAfter) <= 0);
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    if (!isStream()) {
      end();
      load.onSuccess();
      owner.onWhole(status, fields, whole.toByteArray());
    } else if (framer.isInsideEvent()) {
      fail(AttemptOutcome.BROKEN, "the stream ended inside an event");
    } else {
      end();
      owner.onBegin(status, fields);
      owner.onComplete();
    }
  }

  @Override
  public void onFailure(AttemptOutcome outcome, String reason) {
    if (!ended) {
      fail(outcome, reason);
    }
  }

  private void fail(AttemptOutcome outcome, String reason) {
    end();
    if (outcome != AttemptOutcome.NOT_EXECUTED) {
      load.onFailure(forwarder.scheduler().nowMillis());
    }
    owner.onFailed(outcome, reason);
  }

  private void end() {
    ended = true;
    check.cancel();
    markRead();
    load.onEnded();
    forwarder.loads().onChanged();
  }

  private void markRead() {
    if (!isRead) {
      isRead = true;
      load.onRead(tokensToRead);
      forwarder.loads().onChanged();
    }
  }

  private void noteNews() {
    lastNewsAt = forwarder.scheduler().nowMillis();
  }

  private void scheduleCheck() {
    if (route.repetition().mayRunAgain()) {
      check = forwarder.scheduler().schedule(CHECK_INTERVAL_MILLIS, this::checkSilence);
    }
  }

  private void checkSilence() {
    long now = forwarder.scheduler().nowMillis();
    if (!isPaused && now - lastNewsAt > silenceLimit(now)) {
      exchange.cancel();
      fail(AttemptOutcome.SILENT, "no bytes for " + (now - lastNewsAt) + " ms");
    } else {
      scheduleCheck();
    }
  }

  private long silenceLimit(long nowMillis) {
    if (load.isSuspended(nowMillis)) {
      return SUSPECT_SILENCE_MILLIS;
    }
    if (!route.streamed()) {
      return TARGET_FACTOR * route.targetMillis();
    }
    // The first event waits for the prompts of others, so that silence before it says little.
    return isRead ? PAUSE_FACTOR * route.maxPauseMillis() : Long.MAX_VALUE;
  }
}
