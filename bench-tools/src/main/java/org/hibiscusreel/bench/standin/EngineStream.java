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

/** One generation of an engine. Its text needs no storage, since it can be recomputed. */
final class EngineStream {

  /** Life cycle of a generation. */
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
  private final long order;
  private final Generation generation;
  private final long createdAt;
  private final List<Reader> readers = new ArrayList<>();
  private State state = State.QUEUED;
  private int produced;
  private long firstTokenAt;
  private long readerLeftAt;
  private long endedAt;

  EngineStream(
      String id, JsonNode metadata, int priority, long order, Generation generation, long now) {
    this.id = id;
    this.metadata = metadata;
    this.priority = priority;
    this.order = order;
    this.generation = generation;
    this.createdAt = now;
    this.readerLeftAt = now;
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

  long order() {
    return order;
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

  long endedAt() {
    return endedAt;
  }

  /** Starts the generation; the first token comes at the given time. */
  void run(long firstTokenAtMillis) {
    state = State.RUNNING;
    firstTokenAt = firstTokenAtMillis;
  }

  /** Generates one token if the prompt is processed; returns whether the generation ended. */
  boolean step(long now) {
    if (now < firstTokenAt) {
      return false;
    }
    produced++;
    if (produced == generation.pieces()) {
      state = State.FINISHED;
      endedAt = now;
    }
    List.copyOf(readers).forEach(Reader::wake);
    return state == State.FINISHED;
  }

  /** Ends the generation early and drops its readers. */
  void end(State how, long now) {
    state = how;
    endedAt = now;
    List.copyOf(readers).forEach(r -> r.closeEx(new IOException("stream " + how)));
  }

  /** Returns whether nobody has read for the given time. */
  boolean isAbandoned(long now, long millis) {
    return readers.isEmpty() && now - readerLeftAt >= millis;
  }

  /** Returns a reader from an offset. */
  ChannelSupplier<ByteBuf> read(int offset, java.util.function.LongSupplier now) {
    Reader r = new Reader(offset, now);
    readers.add(r);
    return r;
  }

  /** Returns what is observed of this generation. */
  Map<String, Object> observed() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("stream_id", id);
    m.put("metadata", metadata);
    m.put("priority", priority);
    m.put("prompt_tokens", generation.promptTokens());
    m.put("completion_tokens", produced);
    m.put("state", state.name().toLowerCase(Locale.ROOT));
    m.put("created_at_millis", createdAt);
    m.put("ended_at_millis", endedAt);
    return m;
  }

  private void appendEvents(StringBuilder b, int from) {
    for (int i = from; i < produced; i++) {
      b.append("id: ").append(i).append("\ndata: {\"id\":\"").append(id);
      b.append("\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,");
      b.append("\"delta\":{\"content\":\"").append(generation.piece(i)).append("\"}}]}\n\n");
    }
    if (state == State.FINISHED) {
      final int prompt = generation.promptTokens();
      b.append("id: ").append(produced).append("\ndata: {\"id\":\"").append(id);
      b.append("\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},");
      b.append("\"finish_reason\":\"").append(generation.finishReason()).append("\"}],");
      b.append("\"usage\":{\"prompt_tokens\":").append(prompt).append(",\"completion_tokens\":");
      b.append(produced).append(",\"total_tokens\":").append(prompt + produced);
      b.append("}}\n\ndata: [DONE]\n\n");
    }
  }

  /** Delivers the events from an offset as they are generated. */
  private final class Reader extends AbstractChannelSupplier<ByteBuf> {

    private final java.util.function.LongSupplier now;
    private int next;
    private boolean isDone;
    private SettablePromise<ByteBuf> waiting;

    Reader(int offset, java.util.function.LongSupplier now) {
      this.next = offset;
      this.now = now;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
      if (isDone) {
        leave();
        return Promise.of(null);
      }
      if (isReady()) {
        return Promise.of(take());
      }
      waiting = new SettablePromise<>();
      return waiting;
    }

    @Override
    protected void onClosed(Exception e) {
      leave();
      SettablePromise<ByteBuf> w = waiting;
      waiting = null;
      if (w != null) {
        w.trySetException(e);
      }
    }

    void wake() {
      if (waiting != null && isReady()) {
        SettablePromise<ByteBuf> w = waiting;
        waiting = null;
        w.set(take());
      }
    }

    private boolean isReady() {
      return next < produced || state == State.FINISHED;
    }

    private ByteBuf take() {
      StringBuilder b = new StringBuilder();
      appendEvents(b, next);
      next = Math.max(next, produced);
      isDone = state == State.FINISHED;
      return ByteBufStrings.wrapAscii(b.toString());
    }

    private void leave() {
      readers.remove(this);
      readerLeftAt = now.getAsLong();
    }
  }
}
