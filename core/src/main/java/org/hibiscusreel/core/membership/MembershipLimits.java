package org.hibiscusreel.core.membership;

/**
 * Parameters of the membership protocol.
 *
 * @param suspicionMillis time that a suspected member has to refute the suspicion, in milliseconds
 * @param tombstoneMillis time for which a dead member is kept in the table, in milliseconds
 * @param maxUpdates largest number of recent updates in one message
 * @param maxRefresh largest number of additional random members in one message, to repair lost
 *     updates
 * @param newMemberMillis time after its first update during which a member counts as new, in
 *     milliseconds
 * @param maxNewMemberRefresh largest number of additional random members in a message to a new
 *     member, which fills its table when many daemons start at the same time
 * @param maxMembers largest number of members in a response to a joining daemon
 * @param maxPauseMillis longest interval between two ticks that does not count as a pause of this
 *     process, in milliseconds
 */
public record MembershipLimits(
    long suspicionMillis,
    long tombstoneMillis,
    int maxUpdates,
    int maxRefresh,
    long newMemberMillis,
    int maxNewMemberRefresh,
    int maxMembers,
    long maxPauseMillis) {
  /**
   * Returns the default parameters. With 410 daemons, a message of 10 members of about 200 bytes
   * each, sent and received 2.4 times a second, stays below 5 KB/s in each direction.
   *
   * @return the default parameters
   */
  public static MembershipLimits defaults() {
    return new MembershipLimits(6_000, 600_000, 8, 2, 60_000, 64, 512, 2_500);
  }
}
