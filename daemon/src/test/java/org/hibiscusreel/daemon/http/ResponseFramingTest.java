package org.hibiscusreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses that another recipient reads differently, whatever the segments are. */
class ResponseFramingTest {

  private static final String LINE = "HTTP/1.1 200 OK\r\n";

  /** Reads a text in pieces of random size up to a fault. */
  private static Optional<String> read(ResponseFraming framing, String text, long seed) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Random random = new Random(seed);
    Optional<String> fault = Optional.empty();
    int from = 0;
    while (from < bytes.length && fault.isEmpty()) {
      int to = Math.min(bytes.length, from + 1 + random.nextInt(20));
      fault = framing.read(bytes, from, to);
      from = to;
    }
    return fault;
  }

  private static boolean isValid(String text, long seed) {
    return read(new ResponseFraming("POST"), text, seed).isEmpty();
  }

  @Provide
  Arbitrary<String> statusLines() {
    Arbitrary<String> versions =
        Arbitraries.of("HTTP/1.1", "HTTP/1.0", "HTTP/1.2", "http/1.1", "HTTP/2", "HTTP/11", "");
    Arbitrary<String> statuses =
        Arbitraries.oneOf(
            Arbitraries.integers().between(0, 1_200).map(String::valueOf),
            Arbitraries.strings().withChars("0125 +-x\t").ofMaxLength(4));
    Arbitrary<String> reasons =
        Arbitraries.strings().withChars("OK \t:ü").withCharRange((char) 0, 'ÿ').ofMaxLength(4);
    Arbitrary<String> spaces = Arbitraries.of(" ", " ", " ", "", "  ", "\t");
    return Combinators.combine(versions, spaces, statuses, spaces, reasons)
        .as((v, s, c, t, r) -> v + s + c + t + r);
  }

  @Property(seed = "60", tries = 5_000)
  void readsStatusLinesAsReference(@ForAll("statusLines") String line, @ForAll long seed) {
    // A LF ends the line, so that what follows it is a field.
    Assume.that(line.indexOf('\n') < 0);
    boolean isProper = line.matches("(?s)HTTP/1\\.[01] [1-5][0-9][0-9]( [\t -~\u0080-ÿ]*)?");
    assertThat(isValid(line + "\r\nA: b\r\n\r\n", seed)).as(line).isEqualTo(isProper);
  }

  @Provide
  Arbitrary<String> names() {
    return Arbitraries.oneOf(
        Arbitraries.strings().withCharRange((char) 0, 'ÿ').ofMaxLength(2).map(t -> "A" + t),
        Arbitraries.strings()
            .withChars("aZ09!#$%&'*+-.^_`|~ \t\r\"(),/:;<=>?@[]{}")
            .ofMaxLength(3));
  }

  /** A line break within the name makes two lines, and a colon ends the name. */
  @Property(seed = "60", tries = 5_000)
  void readsNamesAsReference(
      @ForAll("names") String name, @ForAll boolean isLast, @ForAll long seed) {
    String field = name + ": b\r\n";
    String head = isLast ? "C: d\r\n" + field : field + "C: d\r\n";
    boolean isProper =
        field
            .replace("\r\n", "\n")
            .lines()
            .allMatch(l -> l.matches("(?s)[a-zA-Z0-9!#$%&'*+.^_`|~-]+:[\t -~\u0080-ÿ]*"));
    isProper &= !name.contains("\r");
    assertThat(isValid(LINE + head + "\r\n", seed)).as(head).isEqualTo(isProper);
  }

  @Provide
  Arbitrary<List<String>> fields() {
    Arbitrary<String> names =
        Arbitraries.of(
            "Content-Length", "content-length", "Transfer-Encoding", "X", "X ", "", "a(");
    Arbitrary<String> values =
        Arbitraries.of("3", "0", "3 ", "03", "", "-3", "chunked", "Chunked", "gzip", "x");
    return Combinators.combine(names, values).as((n, v) -> n + ": " + v).list().ofMaxSize(3);
  }

  /** Whatever the fields are, either the reference finds the same body, or there is a fault. */
  @Property(seed = "60", tries = 5_000)
  void readsFieldsAsReference(@ForAll("fields") List<String> fields, @ForAll long seed) {
    List<String> lengths = values(fields, "content-length");
    List<String> codings = values(fields, "transfer-encoding");
    boolean isProper =
        fields.stream().allMatch(f -> f.matches("[A-Za-z-]+: .*"))
            && lengths.stream().allMatch(v -> v.matches("[0-9]+"))
            && lengths.stream().map(Integer::parseInt).distinct().count() <= 1
            && (codings.isEmpty() || (lengths.isEmpty() && codings.equals(List.of("chunked"))));
    String head = LINE + String.join("\r\n", fields) + (fields.isEmpty() ? "" : "\r\n") + "\r\n";
    assertThat(isValid(head, seed)).as(head).isEqualTo(isProper);
    if (isProper && !codings.isEmpty()) {
      // Only the framing of chunks has faults; all bytes after the last chunk are ignored.
      assertThat(isValid(head + "3\r\nabc\r\n0\r\n\r\n \r\n", seed)).isTrue();
      assertThat(isValid(head + "3\r\nabc\r\n0\r\n \r\n", seed)).isFalse();
    }
  }

  private static List<String> values(List<String> fields, String name) {
    return fields.stream()
        .filter(f -> f.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(f -> f.substring(name.length() + 1).strip().toLowerCase(Locale.ROOT))
        .toList();
  }

  /** Guards against a long stream that is refused for the sum of its extensions. */
  @ParameterizedTest
  @CsvSource({"20, 40, true", "1, 40, false"})
  void limitsExtensionsInProportionToBody(int size, int extension, boolean isAllowed) {
    String chunk =
        Integer.toHexString(size)
            + ";"
            + "e".repeat(extension)
            + "\r\n"
            + "b".repeat(size)
            + "\r\n";
    String head = LINE + "Transfer-Encoding: chunked\r\n\r\n";

    assertThat(isValid(head + chunk.repeat(20_000), 1)).isEqualTo(isAllowed);
  }
}
