package org.hibiscusreel.bench.slopes;

import java.util.List;

/**
 * Straight line fitted by least squares.
 *
 * @param slope increase of y per unit of x
 * @param intercept y at x = 0
 * @param determination coefficient of determination (R2), 1 if y does not vary
 */
public record Fit(double slope, double intercept, double determination) {

  /**
   * A data point.
   *
   * @param x the independent variable, for example a number of items
   * @param y the quantity measured at x
   */
  public record Point(double x, double y) {}

  /**
   * Fits a line to points.
   *
   * @param points at least two points with different x
   * @return the line
   * @throws IllegalArgumentException if there are no two points with different x
   */
  public static Fit of(List<Point> points) {
    double n = points.size();
    double meanX = points.stream().mapToDouble(Point::x).sum() / n;
    double meanY = points.stream().mapToDouble(Point::y).sum() / n;
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (Point p : points) {
      xx += (p.x() - meanX) * (p.x() - meanX);
      xy += (p.x() - meanX) * (p.y() - meanY);
      yy += (p.y() - meanY) * (p.y() - meanY);
    }
    if (!(xx > 0)) {
      throw new IllegalArgumentException(
          "fitting a line needs at least two points with different x");
    }
    double slope = xy / xx;
    return new Fit(slope, meanY - slope * meanX, yy > 0 ? xy * xy / (xx * yy) : 1);
  }
}
