package org.hibiscusreel.core.request;

import java.util.Locale;

/** Tells a caller whether its request ran at an upstream. */
public enum Ran {
  /** The request was certainly not run and will not be run. */
  NO,
  /** The request ran, at least in part. */
  YES,
  /** The request may have run; the caller can ask for the outcome later. */
  UNKNOWN;

  /**
   * Returns the value of the {@code ran} field of a problem document.
   *
   * @return the lower-case name
   */
  public String toField() {
    return name().toLowerCase(Locale.ROOT);
  }
}
