package org.hibiscusreel.ctl.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LineParserTest {

  @TempDir private Path directory;

  private static String line(Path file, String event) throws IOException {
    return Files.readAllLines(file).stream()
        .filter(l -> LineParser.isOf(l, event))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against a field of the daemons' lines that is renamed or left out on one side only. */
  @Test
  void readsTheFieldsThatDaemonsWrite() throws IOException {
    List<Path> files = OutOfStepDaemons.record(directory);
    String begun = line(files.get(0), "request");
    String takenUp = line(files.get(1), "request");
    assertThat(LineParser.isTakeUp(begun)).isFalse();
    assertThat(LineParser.isTakeUp(takenUp)).isTrue();
    assertThat(LineParser.parse(begun).map(LineParser::request).toString())
        .isEqualTo(
            "Optional[RequestLine[atMillis=5, id=id1, daemon=front-a.1, resumes=, service=chat, "
                + "software=v2, upstreams=[i-v2], events=1, outcome=aborted: BROKEN reset, "
                + "evidence= upstreams_age_ms=3 version=7]]");
    assertThat(LineParser.parse(takenUp).map(LineParser::request).toString())
        .isEqualTo(
            "Optional[RequestLine[atMillis=905, id=id2, daemon=front-b.1, resumes=id1, "
                + "service=chat, software=v1, upstreams=[i-v1], events=1, outcome=complete, "
                + "evidence= upstreams_age_ms=3 version=7]]");
    String concluded = line(files.get(1), "stream_origin");
    assertThat(concluded).contains("\"" + LineParser.ORIGIN_SERVICE + "\":\"chat\"");
    assertThat(LineParser.parse(concluded).map(LineParser::origin).toString())
        .isEqualTo(
            "Optional[OriginLine[atMillis=905, request=id1, daemon=front-b.1, source=view, "
                + "origin=Optional[StreamOrigin[service=chat, softwareVersion=v1]], outcome=v1, "
                + "evidence= followed_ms=31000 upstreams_age_ms=3 reporting=0 daemons=1 "
                + "configuration=7]]");
  }
}
