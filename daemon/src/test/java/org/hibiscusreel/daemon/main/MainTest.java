package org.hibiscusreel.daemon.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    return new Main(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8))
        .run(arguments);
  }

  @Test
  void printsUsageAndVersion() {
    assertThat(run("--help")).isZero();
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("--settings", "--check");
    assertThat(run("--version")).isZero();
    assertThat(err.size()).isZero();
  }

  @Test
  void wrongUsageExitsWithTwo() {
    assertThat(run("--no-such-option")).isEqualTo(2);
    assertThat(run()).isEqualTo(2);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("--settings FILE is required");
  }

  @Test
  void invalidSettingsExitWithTwoAndTheirLocation(@TempDir Path directory) throws Exception {
    Path file = directory.resolve("host.toml");
    Files.writeString(file, "[host]\nnmae = \"x\"\n");

    assertThat(run("--settings", file.toString(), "--check")).isEqualTo(2);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("host.toml:2: host.nmae");
  }
}
