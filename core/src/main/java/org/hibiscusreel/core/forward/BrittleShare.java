package org.hibiscusreel.core.forward;

/**
 * Part of this daemon in the room of a brittle upstream.
 *
 * @param daemons number of daemons, 1 or more
 * @param rank position of this daemon in an order of all daemons that all of them know
 * @param mayBorrow whether this daemon hears from all others, so that it may use what they leave
 * @param reportMillis interval of the reports of a daemon in milliseconds
 */
public record BrittleShare(int daemons, int rank, boolean mayBorrow, long reportMillis) {

  int of(int requests) {
    return requests / daemons + (rank < requests % daemons ? 1 : 0);
  }
}
