package org.hibiscusreel.core.membership;

/**
 * Status of a daemon in another daemon's view. The declaration order is the precedence at equal
 * refutation numbers.
 */
public enum MemberStatus {
  /** It responds to probes. */
  ALIVE,
  /** It did not respond to probes and can still refute the suspicion. */
  SUSPECT,
  /** It announced that it is stopping. */
  LEAVING,
  /**
   * It did not refute the suspicion in time. Reversible, and no proof that the process has ended.
   */
  DEAD
}
