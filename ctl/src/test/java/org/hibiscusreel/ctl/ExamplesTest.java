package org.hibiscusreel.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Verifies that the examples are valid and keep the sizes of the two fleets. */
class ExamplesTest {

  @ParameterizedTest
  @CsvSource({
    "costa-rica, 6, '11 upstreams, 2 models, 1 plain services, 10 client accounts'",
    "bangkok, 8, '17 upstreams, 3 models, 1 plain services, 10 client accounts'",
  })
  void exampleIsValid(String site, int hosts, String sizes) throws IOException {
    Path directory = Path.of("..", "examples", site);

    assertThat(
            check(
                "--base",
                directory.resolve("base.toml").toString(),
                "--overlay",
                site + "=" + directory.resolve(site + ".toml")))
        .isEqualTo(site + ": valid, " + sizes);
    try (Stream<Path> files = Files.list(directory.resolve("hosts"))) {
      List<Path> found = files.toList();
      assertThat(found).hasSize(hosts);
      for (Path file : found) {
        assertThat(check("--settings", file.toString())).endsWith("are valid");
      }
    }
  }

  private static String check(String... options) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    String[] args = Stream.concat(Stream.of("check"), Stream.of(options)).toArray(String[]::new);
    new HibiscusreelCtl(
            command -> {
              throw new AssertionError("the check command must not connect to the platform");
            },
            stream,
            stream)
        .run(args);
    return out.toString(StandardCharsets.UTF_8).strip();
  }
}
