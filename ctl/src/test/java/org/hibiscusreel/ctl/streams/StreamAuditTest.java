package org.hibiscusreel.ctl.streams;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamAuditTest {

  private static String line(String text) {
    String[] f = text.strip().split(" ", -1);
    String origin = f[f.length - 1];
    int slash = origin.indexOf('/');
    String service = slash < 0 ? "s" : origin.substring(0, slash);
    String version = origin.substring(slash + 1).replace("@i", "");
    String attempts = origin.endsWith("@i") ? "\"i@5 complete\"" : "";
    String common = "\"service\":\"" + service + "\",\"incarnation\":\"d\"";
    return switch (f[0]) {
      case "begin", "take" ->
          ("{\"event\":\"request\",\"id\":\"%s\",%s"
                  + "\"software\":\"%s\",\"events\":%d,\"attempts\":[%s],%s}")
              .formatted(
                  f[1],
                  f[0].equals("take") ? "\"resumes\":\"" + f[2] + "\"," : "",
                  version,
                  version.equals("-") ? 0 : 3,
                  attempts,
                  common);
      case "concluded" ->
          "{\"event\":\"stream_origin\",\"request\":\"%s\",\"source\":\"%s\",\"outcome\":\"%s\",%s}"
              .formatted(f[1], f[2], version, common);
      default ->
          "{\"event\":\"upstream\",\"upstream\":\"i\",\"software\":\"%s\",%s}"
              .formatted(version, common);
    };
  }

  /** Guards against joined streams that are not listed, and sound ones that are. */
  @ParameterizedTest
  @CsvSource({
    "begin f v1; take x f v1, 0",
    "begin f v1; take x f v2, 1",
    "begin f v1; take x f t/v1, 1",
    "take x f v2; begin f v1, 1",
    "begin f v1; take x f v1; take y x v2, 1",
    "take y x v2; take x f v1; begin f v1, 1",
    "begin f v1; take x f -; take y x v2, 1",
    "begin f v1; take x f v2; take y x v2, 2",
    "begin f v1; take x f -, 0",
    "take x f v1; take y f v2, 1",
    "take x y v1; take y x v1, 0",
    "begin f v1; begin f v2; take x f v2, 0",
    "concluded f record v1; concluded f view v2, 1",
    "concluded f view v1; concluded f record v1, 0",
    "concluded f record v1; concluded f none Unavailable, 0",
    "begin f v1; take x f -; concluded f view v2, 1",
    "begin f v1; concluded f view v2; take x f v2, 1",
    "upstream v2; begin f v1; take x f v1@i, 1",
    "upstream v1; upstream v2; begin f v1; take x f v1@i, 0"
  })
  void listsStreamsOfTwoOrigins(String log, int differences) {
    StreamAudit audit = new StreamAudit();
    List<String> lines = Stream.of(log.split(";", -1)).map(StreamAuditTest::line).toList();
    assertThat(lines).allMatch(audit::collect);
    assertThat(lines).allMatch(audit::collectFirst);
    assertThat(audit.compare().values().stream().flatMap(s -> s.differences().stream()))
        .hasSize(differences);
    assertThat(audit.compare().values().stream().flatMap(s -> s.uncertain().stream()))
        .hasSize(log.contains("upstream v1") ? 1 : 0);
  }

  /** Guards against memory that grows with the logs, and a verdict on a part of the take-ups. */
  @Test
  void refusesMoreTakeUpsThanItKeeps() {
    StreamAudit audit = new StreamAudit();
    String takeUp = line("take x f v1");
    for (int i = 0; i < StreamAudit.MAX_TAKE_UPS; i++) {
      audit.collect(takeUp);
    }
    assertThatThrownBy(() -> audit.collect(takeUp))
        .isInstanceOf(StreamAudit.TooManyException.class);
  }
}
