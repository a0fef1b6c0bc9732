package org.hibiscusreel.ctl.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogFileTest {

  private static final String EVENT = "{\"event\":\"stop\"}";

  @TempDir private Path directory;

  /** Guards against lines that are lost, or taken for those of a daemon, without being counted. */
  @ParameterizedTest
  @CsvSource({
    "'EVENT', 1, 0",
    "'  6.5 front-a EVENT ', 1, 0",
    "'EVENT|EVENT|', 2, 0",
    "'built in 19.0 s||EVENT', 1, 1",
    "'{\"event\":\"st', 0, 1",
    "'{\"other\":1}', 0, 1",
    "'{\"refused\":1,EVENT', 0, 1",
    "'LONG EVENT|EVENT', 1, 1"
  })
  void countsLines(String text, int read, int passedOver) throws IOException {
    String content =
        text.replace("LONG", "x".repeat(LogFile.MAX_LINE_BYTES))
            .replace("EVENT", EVENT)
            .replace('|', '\n');
    List<String> lines = new ArrayList<>();
    LogFile.Counts counts =
        LogFile.read(
            Files.writeString(directory.resolve("log"), content),
            l -> !l.contains("refused") && lines.add(l));
    assertThat(counts).isEqualTo(new LogFile.Counts(read, passedOver));
    assertThat(lines).isEqualTo(Collections.nCopies(read, EVENT));
  }
}
