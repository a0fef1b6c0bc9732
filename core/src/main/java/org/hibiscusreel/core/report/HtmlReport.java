package org.hibiscusreel.core.report;

import java.time.Instant;
import java.util.List;

/** Renders a report as a single HTML page without scripts and external resources. */
public final class HtmlReport {

  private static final String STYLE =
      """
      body{font:16px/1.4 sans-serif;margin:2em auto;max-width:70em;padding:0 1em}
      h1 span{padding:.1em .4em;border-radius:.2em;color:#fff}
      .WENT_WELL{background:#1a7f37}.DID_NOT_GO_WELL{background:#b3261e}
      .NOT_YET_KNOWN{background:#8a6100}
      table{border-collapse:collapse;margin:1em 0}
      td,th{border:1px solid #bbb;padding:.3em .6em;text-align:left;vertical-align:top}
      .bad{color:#b3261e;font-weight:bold}.unknown{color:#8a6100}
      """;

  private HtmlReport() {}

  /**
   * Renders a report.
   *
   * @param report the report
   * @return HTML text
   */
  public static String render(EveningReport report) {
    StringBuilder html = new StringBuilder();
    String title = report.date() + ": " + report.verdict().text();
    html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(escape(title))
        .append("</title><style>\n")
        .append(STYLE)
        .append("</style></head><body>\n<h1>")
        .append(escape(report.date()))
        .append(": <span class=\"")
        .append(report.verdict().name())
        .append("\">")
        .append(escape(report.verdict().text()))
        .append("</span></h1>\n<p>Made at ")
        .append(Instant.ofEpochMilli(report.madeAtMillis()))
        .append("</p>\n<table>\n");
    report.figures().forEach(figure -> append(html, figure));
    html.append("</table>\n");
    if (!report.unknownBecause().isEmpty()) {
      html.append("<h2>Not yet known because</h2>\n");
      append(html, report.unknownBecause());
    }
    html.append("<h2>Refusals by code</h2>\n<table>\n");
    report
        .refusals()
        .forEach((code, tally) -> row(html, "", escape(code), escape(TextReport.tally(tally))));
    html.append("</table>\n");
    append(html, "Client accounts", report.accounts());
    append(html, "Sites", report.sites());
    return html.append("</body></html>\n").toString();
  }

  private static void append(StringBuilder html, Figure figure) {
    boolean isViolation = figure.guaranteed() && figure.amount() > 0;
    String style = isViolation ? "bad" : figure.isKnown() ? "" : "unknown";
    StringBuilder details = new StringBuilder(escape(TextReport.amount(figure)));
    append(details, figure.details());
    row(html, style, escape(figure.title()), details.toString());
  }

  private static void append(StringBuilder html, List<String> lines) {
    if (!lines.isEmpty()) {
      html.append("<ul>");
      lines.forEach(line -> html.append("<li>").append(escape(line)).append("</li>"));
      html.append("</ul>\n");
    }
  }

  private static void append(StringBuilder html, String title, List<BreakdownLine> lines) {
    html.append("<h2>").append(escape(title)).append("</h2>\n<table>\n<tr><th>Name</th>");
    for (String column :
        List.of("Served", "Late", "Refused", "Refused falsely", "Unknown", "Billed tokens", "")) {
      html.append("<th>").append(column).append("</th>");
    }
    html.append("</tr>\n");
    for (BreakdownLine line : lines) {
      row(
          html,
          line.known() ? "" : "unknown",
          escape(line.name()),
          TextReport.tally(line.served()),
          TextReport.tally(line.late()),
          TextReport.tally(line.refused()),
          TextReport.tally(line.falseRefusals()),
          TextReport.tally(line.unknownOutcomes()),
          String.valueOf(line.billedTokens()),
          line.known() ? "" : "not yet known in full");
    }
    html.append("</table>\n");
  }

  private static void row(StringBuilder html, String style, String... cells) {
    html.append(style.isEmpty() ? "<tr>" : "<tr class=\"" + style + "\">");
    for (String cell : cells) {
      html.append("<td>").append(cell).append("</td>");
    }
    html.append("</tr>\n");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
