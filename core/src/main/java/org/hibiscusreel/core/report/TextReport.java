package org.hibiscusreel.core.report;

import java.time.Instant;
import java.util.List;
import java.util.Locale;

/** Renders a report as plain text. */
public final class TextReport {

  private TextReport() {}

  /**
   * Renders a report.
   *
   * @param report the report
   * @return lines of text, the verdict first
   */
  public static String render(EveningReport report) {
    StringBuilder text = new StringBuilder();
    text.append(report.date()).append(": ").append(report.verdict().text()).append('\n');
    text.append("made at ").append(Instant.ofEpochMilli(report.madeAtMillis())).append("\n\n");
    report.figures().forEach(figure -> append(text, figure));
    if (!report.unknownBecause().isEmpty()) {
      text.append("\nNot yet known because\n");
      report.unknownBecause().forEach(line -> text.append("  ").append(line).append('\n'));
    }
    text.append("\nRefusals by code\n");
    report
        .refusals()
        .forEach((code, tally) -> text.append(format("  %-26s %s%n", code, tally(tally))));
    append(text, "Client accounts", report.accounts());
    append(text, "Sites", report.sites());
    return text.toString();
  }

  /**
   * Renders the amount of a figure. The amount of an incomplete figure is always marked as such.
   */
  static String amount(Figure figure) {
    String known = format("%d %s, worth %s", figure.amount(), figure.unit(), worth(figure.worth()));
    if (figure.isKnown()) {
      return known;
    }
    String sites = String.join(", ", figure.unknownSites());
    return "not yet known (so far " + known + "; missing: " + sites + ")";
  }

  /** Renders a worth with two decimal places. */
  static String worth(double worth) {
    return format("%.2f", worth);
  }

  /** Renders a tally. */
  static String tally(Tally tally) {
    return tally.count() + " (worth " + worth(tally.worth()) + ")";
  }

  private static void append(StringBuilder text, Figure figure) {
    text.append(format("%-24s %s%n", figure.title(), amount(figure)));
    figure.details().forEach(line -> text.append("    ").append(line).append('\n'));
  }

  private static void append(StringBuilder text, String title, List<BreakdownLine> lines) {
    text.append('\n').append(title).append('\n');
    for (BreakdownLine line : lines) {
      text.append(
          format(
              "  %s: served %s, late %s, refused %s, falsely %s, unknown %s, billed %d tokens%s%n",
              line.name(),
              tally(line.served()),
              tally(line.late()),
              tally(line.refused()),
              tally(line.falseRefusals()),
              tally(line.unknownOutcomes()),
              line.billedTokens(),
              line.known() ? "" : " (not yet known in full)"));
    }
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
