package org.hibiscusreel.coordination.timeline;

import java.util.Objects;
import org.hibiscusreel.coordination.port.EventSink;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.core.timeline.HybridTimestamp;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.hibiscusreel.wire.Stamp;

/**
 * Records the events of one process and creates the time stamps of its messages. Not thread-safe.
 */
public final class EventRecorder {

  private final HybridClock clock;
  private final String process;
  private final EventSink sink;

  /**
   * Creates a recorder.
   *
   * @param clock clock of the process
   * @param process incarnation of the daemon, or name of the program
   * @param sink receives the events
   * @throws NullPointerException if an argument is null
   */
  public EventRecorder(HybridClock clock, String process, EventSink sink) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.process = Objects.requireNonNull(process, "process");
    this.sink = Objects.requireNonNull(sink, "sink");
  }

  /**
   * Records an event that concerns no request, budget or upstream.
   *
   * @param kind stable lower-case name of the kind of event
   * @param detail additional information, may be empty
   */
  public void record(String kind, String detail) {
    record(kind, "", "", "", "", detail);
  }

  /**
   * Records an event.
   *
   * @param kind stable lower-case name of the kind of event
   * @param account client account, or empty
   * @param request request identifier, or empty
   * @param budget budget, or empty
   * @param upstream upstream, or empty
   * @param detail additional information, may be empty
   */
  public void record(
      String kind, String account, String request, String budget, String upstream, String detail) {
    sink.record(
        new TimelineEvent(clock.tick(), process, kind, account, request, budget, upstream, detail));
  }

  /**
   * Records an event about a budget.
   *
   * @param kind stable lower-case name of the kind of event
   * @param budget name of the budget
   * @param detail additional information, may be empty
   */
  public void recordBudget(String kind, String budget, String detail) {
    record(kind, "", "", budget, "", detail);
  }

  /**
   * Returns the time stamp for an outgoing message.
   *
   * @return the time stamp
   */
  public Stamp stamp() {
    HybridTimestamp t = clock.tick();
    return Stamp.newBuilder().setWallMillis(t.wallMillis()).setCounter(t.counter()).build();
  }

  /**
   * Advances the clock to the time stamp of a received message.
   *
   * @param stamp time stamp set by the sender
   */
  public void observe(Stamp stamp) {
    clock.observe(new HybridTimestamp(stamp.getWallMillis(), stamp.getCounter()));
  }
}
