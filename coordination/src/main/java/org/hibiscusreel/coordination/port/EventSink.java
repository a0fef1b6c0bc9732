package org.hibiscusreel.coordination.port;

import org.hibiscusreel.core.timeline.TimelineEvent;

/** Receives the events of the timeline. */
@FunctionalInterface
public interface EventSink {

  /**
   * Records an event.
   *
   * @param event the event
   */
  void record(TimelineEvent event);
}
