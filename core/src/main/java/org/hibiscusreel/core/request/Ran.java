package org.hibiscusreel.core.request;

import java.util.Locale;

/** Whether a request ran at an upstream, as reported to its caller. */
public enum Ran {
  /** The request definitely has not run and will not run. */
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
