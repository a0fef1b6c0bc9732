package org.hibiscusreel.core.recovery;

import java.util.Set;

/** Proofs that the process of an incarnation can't run any more. A timeout is never one. */
public final class DeathProof {

  private DeathProof() {}

  /**
   * Tells whether a new process on the same host proves that an earlier one has ended.
   *
   * @param earlier row of the earlier incarnation
   * @param present row of the new incarnation
   * @param holdsHostLock whether the new process holds the exclusive lock port of the host
   * @return true if both ran on one host since one boot and only one process can hold the lock
   */
  public static boolean isReplacedOnHost(
      IncarnationRow earlier, IncarnationRow present, boolean holdsHostLock) {
    return holdsHostLock
        && earlier.state() == IncarnationState.LIVE
        && !present.bootId().isEmpty()
        && earlier.host().equals(present.host())
        && earlier.bootId().equals(present.bootId());
  }

  /**
   * Tells whether the platform has destroyed the host of an incarnation.
   *
   * @param row row of the incarnation
   * @param terminatedHosts hosts that the platform lists as terminated and not as anything else
   * @return true if the host can never run again
   */
  public static boolean isTerminated(IncarnationRow row, Set<String> terminatedHosts) {
    return row.state() == IncarnationState.LIVE && terminatedHosts.contains(row.host());
  }
}
