package org.hibiscusreel.coordination.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hibiscusreel.coordination.config.FakePlatform;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.report.DayRow;
import org.hibiscusreel.core.request.ProblemCode;
import org.junit.jupiter.api.Test;

class DayReporterTest {

  private static final long DAY_MILLIS = 86_400_000;

  private final FakePlatform platform = new FakePlatform();
  private final DayReporter reporter = new DayReporter(platform, platform, "n1", "north", () -> 0);

  @Test
  void writesChangesWithinThirtySeconds() {
    reporter.start();
    platform.advance(30_000);
    reporter.counters().served("lab", 2.0, 0);
    platform.advance(30_000);

    assertThat(rows()).singleElement().extracting(DayReporterTest::served).isEqualTo(1L);
  }

  /** Guards against an idle daemon that the report treats as unreachable after two minutes. */
  @Test
  void refreshesUnchangedCountersWithinTwoMinutes() {
    reporter.start();
    platform.advance(3_600_000);

    assertThat(platform.wallMillis() - rows().get(0).writtenAtMillis())
        .isLessThanOrEqualTo(DayReporter.REFRESH_INTERVAL_MILLIS);
    assertThat(platform.rows().values().iterator().next().version()).isEqualTo(60);
  }

  /** Guards against a reporter that never succeeds again after a lost response. */
  @Test
  void continuesAfterLostResponse() {
    platform.loseNextResponse();
    reporter.start();
    platform.advance(30_000);
    reporter.counters().served("lab", 2.0, 0);
    platform.advance(60_000);

    assertThat(served(rows().get(0))).isEqualTo(1);
  }

  /** Guards against counters larger than the 64 KiB of a row. */
  @Test
  void splitsLargeCounters() {
    reporter.start();
    String account = "account-".repeat(16);
    for (int i = 0; i < 3_000; i++) {
      reporter
          .counters()
          .budgetRefused(account + i, "main", ProblemCode.BUDGET_EXHAUSTED, i, 10, 1.0);
    }
    platform.advance(30_000);

    List<DayRow> parts = rows();
    assertThat(parts).hasSizeGreaterThan(10).allMatch(p -> p.parts() == parts.size());
    assertThat(platform.rows().values())
        .allMatch(r -> r.value().getBytes(StandardCharsets.UTF_8).length <= 64 * 1024);
    assertThat(parts.stream().mapToInt(p -> p.budgetRefusals().size()).sum()).isEqualTo(3_000);
  }

  /** Guards against a past day whose last row was written before its end. */
  @Test
  void writesPastDayAfterItsEnd() {
    platform.advance(DAY_MILLIS - platform.wallMillis() - 10_000);
    reporter.start();
    reporter.counters().served("lab", 2.0, 0);
    platform.advance(120_000);

    DayRow first = rows().get(0);
    assertThat(first.date()).isEqualTo("1970-01-01");
    assertThat(first.writtenAtMillis()).isGreaterThanOrEqualTo(DAY_MILLIS);
    assertThat(rows()).hasSize(2);
  }

  @Test
  void writesOnceMoreAtStop() {
    reporter.start();
    reporter.counters().served("lab", 2.0, 0);

    assertThat(reporter.stop()).isCompleted();
    assertThat(served(rows().get(0))).isEqualTo(1);
  }

  private static long served(DayRow row) {
    return row.accounts().get("lab").served().count();
  }

  private List<DayRow> rows() {
    return platform.rows().values().stream()
        .map(Row::value)
        .map(value -> Json.read(value, DayRow.class))
        .toList();
  }
}
