package org.hibiscusreel.core.report;

/** Verdict on whether a day met its guarantees. */
public enum Verdict {
  /** All guarantees were met, and all figures are complete. */
  WENT_WELL("went well"),
  /** A guarantee was violated. */
  DID_NOT_GO_WELL("did not go well"),
  /** No violation is known, but figures are incomplete. */
  NOT_YET_KNOWN("not yet known");

  private final String text;

  Verdict(String text) {
    this.text = text;
  }

  /**
   * Returns the human-readable form of the verdict.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
