package org.hibiscusreel.core.crash;

import java.util.List;
import java.util.Objects;

/**
 * What one daemon tells the others about crashes. Times are ages in milliseconds, since the clocks
 * of hosts differ.
 *
 * @param replyTo address to send the known blocks and clearances to, empty if not asked for
 * @param sightings requests of the sender that were in flight when their upstream crashed
 * @param blocks known blocks
 * @param clearances known clearances
 */
public record CrashReport(
    String replyTo,
    List<CrashDetector.Sighting> sightings,
    List<Block> blocks,
    List<Clearance> clearances) {

  /** Copies the lists. */
  public CrashReport {
    Objects.requireNonNull(replyTo, "replyTo");
    sightings = List.copyOf(sightings);
    blocks = List.copyOf(blocks);
    clearances = List.copyOf(clearances);
  }

  /**
   * Tells whether the report says nothing.
   *
   * @return true if it has no content and asks for none
   */
  public boolean isEmpty() {
    return replyTo.isEmpty() && sightings.isEmpty() && blocks.isEmpty() && clearances.isEmpty();
  }
}
