package org.hibiscusreel.ctl.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hibiscusreel.ctl.HibiscusreelCtl;
import org.hibiscusreel.ctl.streams.OutOfStepDaemons;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamCommandsTest {

  @TempDir private Path directory;

  /** Guards against an exit code that hides a joined stream or logs that were not read. */
  @ParameterizedTest
  @CsvSource({
    "'front-a.log front-b.log', 1, 'other_evidence=\"view followed_ms=31000 '",
    "'front-b.log front-a.log', 1, 'take-ups: 1, complete: 1'",
    "'front-a.log front-b.log --request id2', 1, 'began request=\"id1\"'",
    "'front-a.log front-b.log --request id9', 2, 'no stream of request id9'",
    "front-b.log, 0, 'first request not in the logs: 1,'",
    "front-a.log, 0, 'take-ups: 0'",
    "other.log, 2, 'no line of a daemon'",
    "none.log, 2, 'can''t be read'",
    "'', 2, 'Main parameters are required'"
  })
  void comparesLogs(String arguments, int code, String text) throws IOException {
    OutOfStepDaemons.record(directory);
    Files.writeString(directory.resolve("other.log"), "no daemon\n");
    List<String> args = new ArrayList<>(List.of("streams", "compare"));
    for (String a : arguments.split(" ", -1)) {
      if (!a.isEmpty()) {
        args.add(a.endsWith(".log") ? directory.resolve(a).toString() : a);
      }
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    HibiscusreelCtl ctl =
        new HibiscusreelCtl(
            c -> {
              throw new AssertionError("logs must be read without the platform");
            },
            out,
            out);
    assertThat(ctl.run(args.toArray(new String[0]))).isEqualTo(code);
    assertThat(bytes.toString(StandardCharsets.UTF_8)).contains(text);
  }
}
