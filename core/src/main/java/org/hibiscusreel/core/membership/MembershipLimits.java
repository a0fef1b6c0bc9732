package org.hibiscusreel.core.membership;

/**
 * Constants of the membership protocol.
 *
 * @param suspicionMillis time that a suspected member has to refute, in milliseconds
 * @param tombstoneMillis time that a dead member is remembered, in milliseconds
 * @param maxUpdates largest number of recent updates in one message
 * @param maxRefresh largest number of further members in one message, which repair lost updates
 * @param youngMillis time after which a member is not new any more, in milliseconds
 * @param maxYoungRefresh largest number of further members in a message to a new member, which
 *     fills its table when many daemons start together
 * @param maxMembers largest number of members in a response to a joining daemon
 * @param maxPauseMillis longest gap between two ticks that does not count as a pause of this
 *     process, in milliseconds
 */
public record MembershipLimits(
    long suspicionMillis,
    long tombstoneMillis,
    int maxUpdates,
    int maxRefresh,
    long youngMillis,
    int maxYoungRefresh,
    int maxMembers,
    long maxPauseMillis) {
  /**
   * Returns the defaults. At 410 daemons a message of 10 members of about 200 bytes each, sent and
   * received 2.4 times a second, stays below 5 KB/s in each direction.
   *
   * @return the defaults
   */
  public static MembershipLimits defaults() {
    return new MembershipLimits(6_000, 600_000, 8, 2, 60_000, 64, 512, 2_500);
  }
}
