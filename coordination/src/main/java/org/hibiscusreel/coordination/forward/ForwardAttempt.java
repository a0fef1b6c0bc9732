package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.AttemptProgress;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamLoad;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.core.forward.UpstreamSelector;

/**
 * One attempt to serve a request at one upstream. Calls exactly one of {@code onFullResponse},
 * {@code onStreamComplete} and {@code onFailed}, unless it is cancelled.
 */
final class ForwardAttempt implements UpstreamTransport.Listener {

  /** Interval in milliseconds of the checks for an unresponsive upstream. */
  static final long CHECK_INTERVAL_MILLIS = 200;

  /**
   * Longest time in milliseconds without bytes from an upstream that failed other requests
   * recently.
   */
  static final long SUSPECT_SILENCE_LIMIT_MILLIS = 800;

  /**
   * Longest time in milliseconds without bytes from an upstream that is silent for other requests
   * too. A sound upstream may be silent for a second or so.
   */
  static final long SHARED_SILENCE_LIMIT_MILLIS = 1_200;

  /**
   * A stream is moved to another upstream after a pause of this many times the route's longest
   * pause.
   */
  static final long PAUSE_LIMIT_FACTOR = 5;

  /**
   * A repeatable request is moved to another upstream after this many times the route's target
   * latency without bytes.
   */
  static final long TARGET_LIMIT_FACTOR = 3;

  /** Receives the results of an attempt. */
  interface Owner {

    /** Called with a complete response that is not a stream. */
    void onFullResponse(int status, List<HeaderField> fields, List<byte[]> body);

    /** Called before the first event, or before the end of a stream without events. */
    void onStreamBegin(int status, List<HeaderField> fields);

    /** Called with an event; returns false if the caller's write buffer is full. */
    boolean onEvent(String id, byte[] bytes);

    /** Returns whether only an upstream with a certain version of its software may answer. */
    boolean isPinned();

    /** Called when the stream is complete. */
    void onStreamComplete();

    /** Called when a connection to the upstream is open. */
    default void onConnected() {}

    /**
     * Sends the request to another upstream as well, since this one is silent. This attempt is
     * cancelled once the other upstream has accepted the request, and goes on otherwise.
     *
     * @return false if the request can't go on elsewhere now
     */
    boolean move();

    /** Called when the upstream goes on while the request is sent to another one as well. */
    void onSilenceEnded();

    /** Called when the attempt failed. */
    void onFailed(AttemptOutcome outcome, String reason);
  }

  private static final int STATUS_OK = 200;

  private final Forwarder forwarder;
  private final Owner owner;
  private final Route route;
  private final Supplier<Set<String>> traits;
  private final UpstreamEntry upstream;
  private final UpstreamLoad load;
  private final long prefillTokens;
  private final long pendingTokens;
  private final Optional<StreamPosition> resumedAfter;
  private final EventFramer framer = new EventFramer(this::onEvent);
  private final BodyBlocks body = new BodyBlocks();
  private UpstreamTransport.Exchange exchange;
  private Cancellable silenceCheck = () -> {};
  private int status;
  private List<HeaderField> fields = List.of();
  private boolean isPromptProcessed;
  private boolean isAnswered;
  private boolean hasRepeatedEvents;
  private boolean isPaused;
  private boolean isSilenceRecorded;
  private boolean isMoving; // the request was sent to another upstream as well
  private boolean ended;
  private long sentAtMillis;
  private long lastActivityAtMillis;

  ForwardAttempt(
      Forwarder forwarder,
      Owner owner,
      Route route,
      Supplier<Set<String>> traits,
      UpstreamSelector.Choice choice,
      Optional<StreamPosition> resumedAfter) {
    this.forwarder = forwarder;
    this.owner = owner;
    this.route = route;
    this.traits = traits;
    this.upstream = choice.candidate().entry();
    this.load = forwarder.loads().ownLoad(upstream.id());
    this.prefillTokens = choice.prefillTokens();
    this.pendingTokens = choice.candidate().pendingPrefillTokens() + prefillTokens;
    this.resumedAfter = resumedAfter;
  }

  UpstreamEntry upstream() {
    return upstream;
  }

  /** Returns the daemon that relays the request, if there is one. */
  Optional<String> relay() {
    return exchange == null ? Optional.empty() : exchange.relay();
  }

  /** Returns how far the upstream got with the request. */
  AttemptProgress progress() {
    if (isAnswered) {
      return AttemptProgress.ANSWERING;
    }
    return status == 0 ? AttemptProgress.WAITING : AttemptProgress.STARTED;
  }

  void start(UpstreamTransport.UpstreamRequest outgoing) {
    forwarder.brittleRooms().onSent(upstream, outgoing.caller().prompt());
    load.onSent(prefillTokens);
    forwarder.loads().limits().onSent(upstream.id());
    forwarder.loads().scheduleReport();
    sentAtMillis = forwarder.scheduler().nowMillis();
    lastActivityAtMillis = sentAtMillis;
    try {
      exchange = forwarder.transport().send(upstream, outgoing, this);
    } catch (RuntimeException e) {
      // The upstream may have published an address that can't be used.
      fail(AttemptOutcome.NOT_SENT, "can't be sent: " + e.getClass().getSimpleName());
      return;
    }
    scheduleSilenceCheck();
  }

  void proceed() {
    isPaused = false;
    lastActivityAtMillis = forwarder.scheduler().nowMillis();
    exchange.resumeReading();
  }

  void cancel() {
    if (!ended) {
      finish();
      if (exchange != null) {
        exchange.cancel();
      }
    }
  }

  /** Lets the attempt go on after no other upstream has accepted the request. */
  void onMoveFailed() {
    isMoving = false;
    if (!ended) {
      checkSilence();
    }
  }

  @Override
  public void onConnected() {
    if (!ended) {
      owner.onConnected();
    }
  }

  @Override
  public void onNotice(UpstreamNotice notice) {
    forwarder.notices().onNotice(upstream, notice, sentAtMillis);
    forwarder.brittleRooms().onNotice(upstream, notice, sentAtMillis);
  }

  @Override
  public void onHead(int headStatus, List<HeaderField> headFields) {
    if (ended) {
      return;
    }
    recordActivity();
    status = headStatus;
    fields = headFields;
    if (isStream() && resumedAfter.filter(p -> !p.isContinuedBy(headFields)).isPresent()) {
      exchange.cancel();
      fail(AttemptOutcome.BROKEN, "another content type in the resumed stream");
    }
  }

  @Override
  public void onBytes(byte[] bytes) {
    recordActivity();
    if (ended) {
      return;
    }
    if (isStream()) {
      framer.accept(bytes);
    } else {
      isAnswered |= bytes.length > 0;
      body.append(bytes);
    }
    if (!ended && !forwarder.responseBuffers().resize(this, bufferedBytes())) {
      exchange.cancel();
      fail(AttemptOutcome.BROKEN, "no end after " + bufferedBytes() + " bytes");
    }
  }

  private long bufferedBytes() {
    return framer.bufferedBytes() + body.size();
  }

  private boolean isStream() {
    return route.streamed() && status == STATUS_OK;
  }

  private void onEvent(String id, byte[] bytes) {
    if (ended) {
      return;
    }
    if (resumedAfter.isPresent() && !isContinuation(id)) {
      return;
    }
    if (!isAnswered && owner.isPinned() && isReplaced()) {
      exchange.cancel();
      fail(AttemptOutcome.BROKEN, "another instance of the upstream answers");
      return;
    }
    if (!isAnswered) {
      isAnswered = true;
      forwarder.crashes().onBegun(traits);
      forwarder
          .prefillRate(upstream.service())
          .add(pendingTokens, forwarder.scheduler().nowMillis() - sentAtMillis);
    }
    markPromptProcessed();
    load.onSuccess();
    owner.onStreamBegin(status, fields);
    if (!owner.onEvent(id, bytes)) {
      isPaused = true;
      exchange.pause();
    }
  }

  /** Returns whether another instance has started under the identity of the upstream. */
  boolean isReplaced() {
    return forwarder
        .fleet()
        .upstreams()
        .find(upstream.id())
        .filter(
            e ->
                e.startedAtMillis() != upstream.startedAtMillis()
                    || !e.softwareVersion().equals(upstream.softwareVersion()))
        .isPresent();
  }

  /**
   * Returns whether an event of a resumed stream comes after those that the caller has. An event
   * without an identifier ends the attempt, since the text of an error would look the same.
   */
  private boolean isContinuation(String id) {
    if (id.isEmpty()) {
      exchange.cancel();
      fail(AttemptOutcome.BROKEN, "an event without an identifier in the resumed stream");
      return false;
    }
    boolean isRepeated = resumedAfter.orElseThrow().covers(id);
    hasRepeatedEvents |= isRepeated;
    return !isRepeated;
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    if (!isStream()) {
      finish();
      load.onSuccess();
      if (status == STATUS_OK) {
        forwarder.crashes().onCompleted(traits);
      }
      owner.onFullResponse(status, fields, body.take());
    } else if (framer.hasPartialEvent()) {
      reportBroken();
      fail(AttemptOutcome.BROKEN, "the stream ended inside an event");
    } else if (hasRepeatedEvents && !isAnswered) {
      // It ended before the position from which it was to go on, so its end is not that of the
      // stream.
      fail(AttemptOutcome.BROKEN, "the resumed stream had no new event");
    } else {
      finish();
      if (isAnswered) {
        forwarder.crashes().onCompleted(traits);
      }
      owner.onStreamBegin(status, fields);
      owner.onStreamComplete();
    }
  }

  @Override
  public void onFailure(AttemptOutcome outcome, String reason) {
    if (!ended) {
      if (outcome == AttemptOutcome.BROKEN) {
        reportBroken();
      }
      fail(outcome, reason);
    }
  }

  private void reportBroken() {
    forwarder.crashes().onBroken(upstream, traits.get(), progress());
  }

  private void fail(AttemptOutcome outcome, String reason) {
    finish();
    boolean isUpstreamAtFault =
        switch (outcome) {
          case NOT_EXECUTED, SILENT, NO_PATH -> false;
          case NOT_SENT, FAILED, BROKEN -> !hasLostPath();
        };
    if (isUpstreamAtFault) {
      load.onFailure(forwarder.scheduler().nowMillis());
    }
    owner.onFailed(outcome, reason);
  }

  private void finish() {
    ended = true;
    forwarder.responseBuffers().release(this);
    silenceCheck.cancel();
    markPromptProcessed();
    load.onEnded();
    forwarder.loads().scheduleReport();
  }

  private void markPromptProcessed() {
    if (!isPromptProcessed) {
      isPromptProcessed = true;
      load.onPrefillEnded(prefillTokens);
      forwarder.loads().scheduleReport();
    }
  }

  private void recordActivity() {
    lastActivityAtMillis = forwarder.scheduler().nowMillis();
    isSilenceRecorded = false;
    forwarder.crashes().onAlive(upstream, sentAtMillis);
    if (isMoving) {
      isMoving = false;
      owner.onSilenceEnded();
    }
  }

  private void scheduleSilenceCheck() {
    silenceCheck.cancel();
    if (route.retryPolicy().mayRunAgain()) {
      silenceCheck = forwarder.scheduler().schedule(CHECK_INTERVAL_MILLIS, this::checkSilence);
    }
  }

  private void checkSilence() {
    long now = forwarder.scheduler().nowMillis();
    long silentMillis = now - lastActivityAtMillis;
    if (isPaused || isMoving || silentMillis <= silenceLimitMillis(now)) {
      scheduleSilenceCheck();
      return;
    }
    isMoving = owner.move();
    if (!isSilenceRecorded) {
      isSilenceRecorded = true;
      if (!hasLostPath()) {
        load.onSilence(now);
      }
      Map<String, Object> line =
          Map.of("upstream", upstream.id(), "silent_ms", silentMillis, "can_move", isMoving);
      forwarder.log().record("upstream_silent", line);
    }
    scheduleSilenceCheck();
  }

  /** Returns whether this host sent the request itself, and is cut off from all upstreams now. */
  private boolean hasLostPath() {
    return forwarder.transport().isIsolated() && relay().isEmpty();
  }

  private long silenceLimitMillis(long nowMillis) {
    if (load.hasFailed(nowMillis) || hasLostPath()) {
      return SUSPECT_SILENCE_LIMIT_MILLIS;
    }
    long limit = ownSilenceLimitMillis();
    return load.isSuspended(nowMillis) ? Math.min(limit, SHARED_SILENCE_LIMIT_MILLIS) : limit;
  }

  /** Returns the limit that does not depend on other requests at the upstream. */
  private long ownSilenceLimitMillis() {
    if (!route.streamed()) {
      return TARGET_LIMIT_FACTOR * route.targetMillis();
    }
    // The first event may wait for the prompts of other requests, so a pause before it does not
    // indicate a failure.
    return isPromptProcessed ? PAUSE_LIMIT_FACTOR * route.maxPauseMillis() : Long.MAX_VALUE;
  }
}
