package org.hibiscusreel.coordination.timeline;

import java.util.Objects;
import org.hibiscusreel.coordination.port.EventSink;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.core.timeline.HybridTimestamp;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.hibiscusreel.wire.Stamp;

/** Records events of one process and stamps its messages. Not thread-safe. */
public final class EventRecorder {

  private final HybridClock clock;
  private final String process;
  private final EventSink sink;

  /**
   * Creates a recorder.
   *
   * @param clock clock of the process
   * @param process incarnation or program
   * @param sink receives the events
   * @throws NullPointerException if an argument is null
   */
  public EventRecorder(HybridClock clock, String process, EventSink sink) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.process = Objects.requireNonNull(process, "process");
    this.sink = Objects.requireNonNull(sink, "sink");
  }

  /**
   * Records an event of the process itself.
   *
   * @param kind stable lower-case name
   * @param detail further text, may be empty
   */
  public void record(String kind, String detail) {
    record(kind, "", "", "", "", detail);
  }

  /**
   * Records an event.
   *
   * @param kind stable lower-case name
   * @param account client account concerned, or empty
   * @param request request identifier concerned, or empty
   * @param budget budget concerned, or empty
   * @param upstream upstream concerned, or empty
   * @param detail further text, may be empty
   */
  public void record(
      String kind, String account, String request, String budget, String upstream, String detail) {
    sink.record(
        new TimelineEvent(clock.tick(), process, kind, account, request, budget, upstream, detail));
  }

  /**
   * Records an event about a budget.
   *
   * @param kind stable lower-case name
   * @param budget budget concerned
   * @param detail further text, may be empty
   */
  public void recordBudget(String kind, String budget, String detail) {
    record(kind, "", "", budget, "", detail);
  }

  /**
   * Stamps an outgoing message.
   *
   * @return the stamp
   */
  public Stamp stamp() {
    HybridTimestamp t = clock.tick();
    return Stamp.newBuilder().setWallMillis(t.wallMillis()).setCounter(t.counter()).build();
  }

  /**
   * Takes the stamp of a received message into account.
   *
   * @param stamp stamp of the sender
   */
  public void observe(Stamp stamp) {
    clock.observe(new HybridTimestamp(stamp.getWallMillis(), stamp.getCounter()));
  }
}
