package org.hibiscusreel.bench.streams;

import java.util.List;
import java.util.Set;
import org.hibiscusreel.core.forward.StreamOrigin;

/**
 * Result of a run.
 *
 * @param joined streams that hold events of several versions or services
 * @param streams number of streams
 * @param takeUps what became of the streams that were taken up
 */
record StreamRun(List<Joined> joined, int streams, TakeUps takeUps) {

  /**
   * A stream that holds events of several versions or services.
   *
   * @param stream its name
   * @param origins the services and versions
   * @param history what the caller saw
   * @param lines what the daemons logged of it
   */
  record Joined(
      String stream, Set<StreamOrigin> origins, List<String> history, List<String> lines) {}
}
