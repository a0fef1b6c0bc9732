package org.hibiscusreel.core.recovery;

import java.util.Set;

/** Proofs that the process of an incarnation can no longer run. A timeout is never a proof. */
public final class DeathProof {

  private DeathProof() {}

  /**
   * Tells whether a new process on the same host proves that an earlier one has ended.
   *
   * @param earlier row of the earlier incarnation
   * @param current row of the new incarnation
   * @param holdsHostLock whether the new process holds the exclusive lock port of the host
   * @return true if both ran on the same host since the same boot and the new process holds the
   *     lock, which only one process can hold
   */
  public static boolean isReplacedOnHost(
      IncarnationRow earlier, IncarnationRow current, boolean holdsHostLock) {
    return holdsHostLock
        && earlier.state() == IncarnationState.LIVE
        && !current.bootId().isEmpty()
        && earlier.host().equals(current.host())
        && earlier.bootId().equals(current.bootId());
  }

  /**
   * Tells whether the platform has terminated the host of an incarnation.
   *
   * @param row row of the incarnation
   * @param terminatedHosts hosts that the platform lists only as terminated
   * @return true if the host can never run again
   */
  public static boolean isTerminated(IncarnationRow row, Set<String> terminatedHosts) {
    return row.state() == IncarnationState.LIVE && terminatedHosts.contains(row.host());
  }
}
