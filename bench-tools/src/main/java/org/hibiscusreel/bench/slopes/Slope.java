package org.hibiscusreel.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * A quantity measured at several sizes.
 *
 * @param quantity what was measured
 * @param unit unit of the quantity
 * @param per item that the sizes count, in the singular
 * @param points the measurements
 */
public record Slope(String quantity, String unit, String per, List<Fit.Point> points) {

  /** Header of the Markdown table to which {@link #toRow()} adds a row. */
  public static final String TABLE_HEADER =
      """
      | quantity | unit | per | slope | intercept | R2 | points |
      |---|---|---|---|---|---|---|
      """;

  /** Makes a defensive copy of the points. */
  public Slope {
    points = List.copyOf(points);
  }

  /**
   * Measures a quantity at several sizes.
   *
   * @param quantity what is measured
   * @param unit unit of the quantity
   * @param per item that the sizes count, in the singular
   * @param sizes the sizes
   * @param measure returns the quantity at a size
   * @return the measurements
   */
  public static Slope measure(
      String quantity, String unit, String per, int[] sizes, DoubleUnaryOperator measure) {
    List<Fit.Point> points = new ArrayList<>();
    for (int size : sizes) {
      points.add(new Fit.Point(size, measure.applyAsDouble(size)));
    }
    return new Slope(quantity, unit, per, points);
  }

  /**
   * Formats the fitted line and the points as a table row.
   *
   * @return a row of a Markdown table, with a line terminator
   */
  public String toRow() {
    Fit fit = Fit.of(points);
    StringBuilder b = new StringBuilder();
    for (Fit.Point p : points) {
      b.append(b.isEmpty() ? "" : " ")
          .append(formatNumber(p.x()))
          .append(':')
          .append(formatNumber(p.y()));
    }
    return String.format(
        Locale.ROOT,
        "| %s | %s | %s | %s | %s | %.4f | %s |%n",
        quantity,
        unit,
        per,
        formatNumber(fit.slope()),
        formatNumber(fit.intercept()),
        fit.determination(),
        b);
  }

  private static String formatNumber(double v) {
    boolean isWhole = v == Math.rint(v) && Math.abs(v) < 1e9;
    return isWhole ? String.valueOf((long) v) : String.format(Locale.ROOT, "%.5g", v);
  }
}
