package org.hibiscusreel.core.recovery;

import java.util.Map;
import java.util.Set;
import org.hibiscusreel.core.budget.AllotmentRow;

/** Return of the allotments of a dead holder to the platform. */
public final class Reclamation {

  private Reclamation() {}

  /**
   * Tells whether the allotments of a dead holder can no longer be spent. The holder must be proven
   * dead and its bills recovered. Every other incarnation of its failure domain must have
   * acknowledged the death, be closed, or be recovered itself.
   *
   * @param dead incarnation of the holder
   * @param registry rows of all registered incarnations
   * @param acknowledged incarnations that acknowledged the death
   * @return true if the allotments may be reclaimed; false if the holder is not registered
   */
  public static boolean isAllowed(
      String dead, Map<String, IncarnationRow> registry, Set<String> acknowledged) {
    IncarnationRow holder = registry.get(dead);
    if (holder == null || holder.state() != IncarnationState.RECOVERED) {
      return false;
    }
    return registry.entrySet().stream()
        .filter(e -> !e.getKey().equals(dead))
        .filter(e -> e.getValue().failureDomain().equals(holder.failureDomain()))
        .allMatch(e -> hasSettled(e.getValue().state()) || acknowledged.contains(e.getKey()));
  }

  private static boolean hasSettled(IncarnationState state) {
    return state == IncarnationState.CLOSED || state == IncarnationState.RECOVERED;
  }

  /**
   * Returns the row of a reclaimed allotment.
   *
   * @param row current row
   * @param spent tokens billed from the allotment by all servers
   * @return the closed row, in which all tokens not spent are returned
   */
  public static AllotmentRow reclaim(AllotmentRow row, long spent) {
    long returned = Math.max(row.returned(), row.drawn() - spent);
    return new AllotmentRow(row.drawn(), returned, true);
  }
}
