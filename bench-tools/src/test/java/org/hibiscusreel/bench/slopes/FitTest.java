package org.hibiscusreel.bench.slopes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class FitTest {

  /** Guards against capacity figures from a wrong slope or intercept. */
  @Test
  void findsTheLineThroughExactPoints() {
    Fit f = Fit.of(List.of(new Fit.Point(1, 5), new Fit.Point(2, 7), new Fit.Point(4, 11)));
    assertThat(f.slope()).isCloseTo(2, within(1e-9));
    assertThat(f.intercept()).isCloseTo(3, within(1e-9));
    assertThat(f.determination()).isCloseTo(1, within(1e-9));
  }

  /** Guards against a line that is reported as exact although the points scatter. */
  @Test
  void reportsScatter() {
    Fit f = Fit.of(List.of(new Fit.Point(0, 0), new Fit.Point(1, 1), new Fit.Point(2, 0)));
    assertThat(f.slope()).isCloseTo(0, within(1e-9));
    assertThat(f.determination()).isCloseTo(0, within(1e-9));
  }

  /** Guards against an infinite slope from measurements at one size. */
  @Test
  void refusesPointsOfOneSize() {
    List<Fit.Point> points = List.of(new Fit.Point(3, 1), new Fit.Point(3, 2));
    assertThatThrownBy(() -> Fit.of(points)).isInstanceOf(IllegalArgumentException.class);
  }
}
