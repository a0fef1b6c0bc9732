package org.hibiscusreel.core.membership;

/** What a daemon believes of another one. The order is the precedence at equal refutation. */
public enum MemberStatus {
  /** It responds to probes. */
  ALIVE,
  /** It did not respond and can still refute. */
  SUSPECT,
  /** It announced that it is stopping. */
  LEAVING,
  /** It did not refute in time. Reversible, and no proof that the process ended. */
  DEAD
}
