package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufStrings;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A generation of the simulated engine. Its text is not stored, because it can be recomputed. */
final class EngineStream {

  /** States of a generation. */
  enum State {
    QUEUED,
    RUNNING,
    FINISHED,
    CANCELLED,
    ABORTED,
    CRASHED
  }

  private final String id;
  private final JsonNode metadata;
  private final int priority;
  private final long arrivalIndex;
  private final Generation generation;
  private final long createdAtMillis;
  private final List<Reader> readers = new ArrayList<>();
  private State state = State.QUEUED;
  private int produced;
  private long firstTokenAtMillis;
  private long lastReaderLeftAtMillis;
  private long endedAtMillis;

  EngineStream(
      String id,
      JsonNode metadata,
      int priority,
      long arrivalIndex,
      Generation generation,
      long nowMillis) {
    this.id = id;
    this.metadata = metadata;
    this.priority = priority;
    this.arrivalIndex = arrivalIndex;
    this.generation = generation;
    this.createdAtMillis = nowMillis;
    this.lastReaderLeftAtMillis = nowMillis;
  }

  String id() {
    return id;
  }

  JsonNode metadata() {
    return metadata;
  }

  int priority() {
    return priority;
  }

  long arrivalIndex() {
    return arrivalIndex;
  }

  Generation generation() {
    return generation;
  }

  State state() {
    return state;
  }

  int produced() {
    return produced;
  }

  long endedAtMillis() {
    return endedAtMillis;
  }

  /** Starts the generation; the first token is generated at the given time. */
  void start(long firstTokenMillis) {
    state = State.RUNNING;
    firstTokenAtMillis = firstTokenMillis;
  }

  /**
   * Generates one token if the prompt has been processed.
   *
   * @return whether the generation finished
   */
  boolean step(long nowMillis) {
    if (nowMillis < firstTokenAtMillis) {
      return false;
    }
    produced++;
    if (produced == generation.pieces()) {
      state = State.FINISHED;
      endedAtMillis = nowMillis;
    }
    List.copyOf(readers).forEach(Reader::deliverIfReady);
    return state == State.FINISHED;
  }

  /** Ends the generation early and closes its readers with an exception. */
  void end(State finalState, long nowMillis) {
    state = finalState;
    endedAtMillis = nowMillis;
    List.copyOf(readers).forEach(reader -> reader.closeEx(new IOException("stream " + finalState)));
  }

  /** Returns whether the stream has had no reader for the given time in milliseconds. */
  boolean isAbandoned(long nowMillis, long timeoutMillis) {
    return readers.isEmpty() && nowMillis - lastReaderLeftAtMillis >= timeoutMillis;
  }

  /** Returns a reader that starts at an offset. */
  ChannelSupplier<ByteBuf> read(int offset, java.util.function.LongSupplier clock) {
    Reader reader = new Reader(offset, clock);
    readers.add(reader);
    return reader;
  }

  /** Returns the observed properties of this generation for {@code GET /observed}. */
  Map<String, Object> observed() {
    Map<String, Object> properties = new LinkedHashMap<>();
    properties.put("stream_id", id);
    properties.put("metadata", metadata);
    properties.put("priority", priority);
    properties.put("prompt_tokens", generation.promptTokens());
    properties.put("completion_tokens", produced);
    properties.put("state", state.name().toLowerCase(Locale.ROOT));
    properties.put("created_at_millis", createdAtMillis);
    properties.put("ended_at_millis", endedAtMillis);
    return properties;
  }

  private void appendEvents(StringBuilder events, int from) {
    for (int i = from; i < produced; i++) {
      events.append("id: ").append(i).append("\ndata: {\"id\":\"").append(id);
      events.append("\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,");
      events.append("\"delta\":{\"content\":\"").append(generation.piece(i)).append("\"}}]}\n\n");
    }
    if (state == State.FINISHED) {
      final int prompt = generation.promptTokens();
      events.append("id: ").append(produced).append("\ndata: {\"id\":\"").append(id);
      events.append(
          "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},");
      events.append("\"finish_reason\":\"").append(generation.finishReason()).append("\"}],");
      events
          .append("\"usage\":{\"prompt_tokens\":")
          .append(prompt)
          .append(",\"completion_tokens\":");
      events.append(produced).append(",\"total_tokens\":").append(prompt + produced);
      events.append("}}\n\ndata: [DONE]\n\n");
    }
  }

  /** Delivers the events from an offset on as they are generated. */
  private final class Reader extends AbstractChannelSupplier<ByteBuf> {

    private final java.util.function.LongSupplier clock;
    private int nextOffset;
    private boolean isDone;
    private SettablePromise<ByteBuf> pendingRead;

    Reader(int offset, java.util.function.LongSupplier clock) {
      this.nextOffset = offset;
      this.clock = clock;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
      if (isDone) {
        detach();
        return Promise.of(null);
      }
      if (isReady()) {
        return Promise.of(takeEvents());
      }
      pendingRead = new SettablePromise<>();
      return pendingRead;
    }

    @Override
    protected void onClosed(Exception e) {
      detach();
      SettablePromise<ByteBuf> read = pendingRead;
      pendingRead = null;
      if (read != null) {
        read.trySetException(e);
      }
    }

    void deliverIfReady() {
      if (pendingRead != null && isReady()) {
        SettablePromise<ByteBuf> read = pendingRead;
        pendingRead = null;
        read.set(takeEvents());
      }
    }

    private boolean isReady() {
      return nextOffset < produced || state == State.FINISHED;
    }

    private ByteBuf takeEvents() {
      StringBuilder events = new StringBuilder();
      appendEvents(events, nextOffset);
      nextOffset = Math.max(nextOffset, produced);
      isDone = state == State.FINISHED;
      return ByteBufStrings.wrapAscii(events.toString());
    }

    private void detach() {
      readers.remove(this);
      lastReaderLeftAtMillis = clock.getAsLong();
    }
  }
}
