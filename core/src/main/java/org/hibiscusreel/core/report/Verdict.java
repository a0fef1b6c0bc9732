package org.hibiscusreel.core.report;

/** Whether a day met its guarantees. */
public enum Verdict {
  /** Every guarantee was met, and nothing is missing. */
  WENT_WELL("went well"),
  /** A guarantee was violated. */
  DID_NOT_GO_WELL("did not go well"),
  /** No violation is known, but figures are missing. */
  NOT_YET_KNOWN("not yet known");

  private final String text;

  Verdict(String text) {
    this.text = text;
  }

  /**
   * Returns the verdict for people.
   *
   * @return the text
   */
  public String text() {
    return text;
  }
}
