package org.hibiscusreel.core.report;

import java.util.List;

/**
 * Figure of a report.
 *
 * @param title title of the figure
 * @param unit unit of the amount
 * @param amount amount as far as it is known
 * @param worth worth of the counted requests as far as it is known
 * @param guaranteed whether an amount above 0 violates a guarantee
 * @param unknownSites sites whose contribution is not yet known; empty if the figure is complete
 * @param details detail lines that explain the amount, bounded in number
 */
public record Figure(
    String title,
    String unit,
    long amount,
    double worth,
    boolean guaranteed,
    List<String> unknownSites,
    List<String> details) {

  /** Copies the lists. */
  public Figure {
    unknownSites = List.copyOf(unknownSites);
    details = List.copyOf(details);
  }

  /**
   * Tells whether the figure is complete.
   *
   * @return true if no site is missing
   */
  public boolean isKnown() {
    return unknownSites.isEmpty();
  }
}
