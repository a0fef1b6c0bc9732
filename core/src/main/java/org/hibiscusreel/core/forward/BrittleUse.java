package org.hibiscusreel.core.forward;

/**
 * Requests in progress at a brittle upstream.
 *
 * @param own requests of this daemon
 * @param others requests that the other daemons report
 * @param capacity requests that the upstream can run at the same time
 */
public record BrittleUse(int own, int others, int capacity) {

  /**
   * Returns the requests of all daemons.
   *
   * @return 0 or more
   */
  public int total() {
    return own + others;
  }
}
