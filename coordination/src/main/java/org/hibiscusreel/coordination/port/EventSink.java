package org.hibiscusreel.coordination.port;

import org.hibiscusreel.core.timeline.TimelineEvent;

/** Receives events for the time line. */
@FunctionalInterface
public interface EventSink {

  /**
   * Records an event.
   *
   * @param event the event
   */
  void record(TimelineEvent event);
}
