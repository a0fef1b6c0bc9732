package org.hibiscusreel.coordination.forward;

/**
 * Row that a daemon has written for its host and one client account. Other daemons keep it, since a
 * store that is restored from an older copy has lost the row, and the daemon may have ended.
 *
 * @param account name of the client account
 * @param host name of the host
 * @param era era of the store in which the row was written
 * @param version version of the row in that era
 * @param row content of the row
 */
public record HolderCopy(String account, String host, long era, long version, String row) {

  /**
   * Returns whether this row was written after another one of the same host.
   *
   * @param other row of the same host and account
   * @return true if it is newer
   */
  public boolean isNewerThan(HolderCopy other) {
    return era != other.era ? era > other.era : version > other.version;
  }
}
