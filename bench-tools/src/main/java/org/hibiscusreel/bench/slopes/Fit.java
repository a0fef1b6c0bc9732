package org.hibiscusreel.bench.slopes;

import java.util.List;

/**
 * Least-squares straight line.
 *
 * @param slope growth of y per unit of x
 * @param intercept y at x = 0
 * @param determination share of the variance that the line explains, 1 if y does not vary
 */
public record Fit(double slope, double intercept, double determination) {

  /**
   * A measured point.
   *
   * @param x the size
   * @param y the quantity at this size
   */
  public record Point(double x, double y) {}

  /**
   * Fits a line.
   *
   * @param points at least two points with different x
   * @return the line
   * @throws IllegalArgumentException if the points don't determine a line
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
      throw new IllegalArgumentException("a line needs two points with different x");
    }
    double slope = xy / xx;
    return new Fit(slope, meanY - slope * meanX, yy > 0 ? xy * xy / (xx * yy) : 1);
  }
}
