package org.hibiscusreel.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.EventSink;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.timeline.TimelineEvent;

/**
 * Keeps the newest events of the timeline in memory and writes all events to the object store in
 * batches of JSON lines. Used only on the event loop.
 */
public final class EventLog implements EventSink {

  /** Largest number of events that are kept in memory for readers. */
  static final int MAX_KEPT_EVENTS = 10_000;

  /** Largest number of events that are queued for the object store; older ones are dropped. */
  static final int MAX_QUEUED_EVENTS = 20_000;

  /** Largest number of events of one object. */
  static final int MAX_BATCH_EVENTS = 2000;

  /**
   * Time between two batches, in milliseconds. The store accepts several hundred writes a second
   * from up to 410 daemons together.
   */
  static final long FLUSH_INTERVAL_MILLIS = 10_000;

  /**
   * An event with its sequence number.
   *
   * @param seq sequence number in this process, from 1
   * @param event the event
   */
  public record NumberedEvent(long seq, TimelineEvent event) {}

  private record Batch(String key, byte[] body) {}

  private final Scheduler scheduler;
  private final ObjectStore store;
  private final String incarnation;
  private final Deque<NumberedEvent> keptEvents = new ArrayDeque<>();
  private final Deque<TimelineEvent> queue = new ArrayDeque<>();
  private long seq;
  private long dropped;
  private long batches;
  private Batch inFlight;
  private CompletableFuture<Void> flushing;
  private Cancellable timer;

  /**
   * Creates a log.
   *
   * @param scheduler time and delayed tasks
   * @param store receives the batches
   * @param incarnation identifier of this run of the daemon
   * @throws NullPointerException if an argument is null
   */
  public EventLog(Scheduler scheduler, ObjectStore store, String incarnation) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.store = Objects.requireNonNull(store, "store");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
  }

  /** Starts to write batches periodically. */
  public void start() {
    timer = scheduler.schedule(FLUSH_INTERVAL_MILLIS, this::onTimer);
  }

  /**
   * Stops the periodic writes and writes up to two more batches of the queued events.
   *
   * @return completes when the last write ended, whatever its outcome
   */
  public CompletableFuture<Void> stop() {
    if (timer != null) {
      timer.cancel();
    }
    return flush().thenCompose(v -> flush());
  }

  @Override
  public void record(TimelineEvent event) {
    seq++;
    keptEvents.addLast(new NumberedEvent(seq, event));
    if (keptEvents.size() > MAX_KEPT_EVENTS) {
      keptEvents.removeFirst();
    }
    queue.addLast(event);
    if (queue.size() > MAX_QUEUED_EVENTS) {
      queue.removeFirst();
      dropped++;
    }
  }

  /**
   * Returns the oldest kept events after a sequence number.
   *
   * @param after sequence number of the last event seen, 0 for all
   * @param limit largest number of events
   * @return the events in order
   */
  public List<NumberedEvent> after(long after, int limit) {
    return keptEvents.stream().filter(n -> n.seq() > after).limit(limit).toList();
  }

  /**
   * Returns the number of events that were dropped before they were written to the object store.
   *
   * @return 0 or more
   */
  public long dropped() {
    return dropped;
  }

  /**
   * Writes the next batch, or repeats the previous write if it was not confirmed.
   *
   * @return completes when the write ended, whatever its outcome
   */
  CompletableFuture<Void> flush() {
    if (flushing != null) {
      return flushing;
    }
    if (inFlight == null) {
      inFlight = nextBatch();
    }
    if (inFlight == null) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    flushing = done;
    var unused =
        store
            .put(inFlight.key(), inFlight.body())
            .thenAccept(
                written -> {
                  flushing = null;
                  if (written) {
                    inFlight = null;
                  }
                  done.complete(null);
                });
    return done;
  }

  private Batch nextBatch() {
    if (queue.isEmpty()) {
      return null;
    }
    StringBuilder b = new StringBuilder();
    int n = 0;
    while (n < MAX_BATCH_EVENTS && !queue.isEmpty()) {
      b.append(Json.write(queue.removeFirst())).append('\n');
      n++;
    }
    batches++;
    LocalDate date =
        LocalDate.ofInstant(Instant.ofEpochMilli(scheduler.wallMillis()), ZoneOffset.UTC);
    String key = "events/" + date + "/" + incarnation + "/" + batches;
    return new Batch(key, b.toString().getBytes(StandardCharsets.UTF_8));
  }

  private void onTimer() {
    var unused = flush();
    timer = scheduler.schedule(FLUSH_INTERVAL_MILLIS, this::onTimer);
  }
}
