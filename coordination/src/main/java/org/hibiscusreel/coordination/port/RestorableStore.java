package org.hibiscusreel.coordination.port;

/**
 * Store that may be restored from an older copy of itself. A restoration takes back what was
 * written since the copy, and versions and positions that were given out since are given out again,
 * so they say nothing without the era they belong to.
 */
public interface RestorableStore {

  /**
   * Returns the era of the store, which rises with each restoration. It is the era of each result
   * at the time when the result is delivered; a response of an earlier era counts as a failure.
   *
   * @return number of the era, 0 if the store names none
   */
  default long era() {
    return 0;
  }
}
