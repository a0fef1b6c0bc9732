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
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against requests that another recipient delimits differently. */
class RequestFramingTest {

  private static final int MAX_HEAD_BYTES = 32_768;
  private static final String START = "POST /x HTTP/1.1\r\nHost: h\r\n";
  private static final String NEXT = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String BODY = "abc";

  /** Reads a text in pieces of random size and returns the number of bytes that may be used. */
  private static int read(RequestFraming framing, String text, long seed) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Random random = new Random(seed);
    int used = 0;
    int from = 0;
    while (from < bytes.length) {
      int to = Math.min(bytes.length, from + 1 + random.nextInt(20));
      int end = framing.read(bytes, from, to);
      used += end - from;
      from = to;
    }
    return used;
  }

  private static Optional<Integer> status(RequestFraming framing) {
    return framing.fault().map(RequestFraming.Fault::status);
  }

  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#improper")
  void findsImproperRequest(RequestForms.Form form) {
    String text = form.toRequest("/x", "");
    for (int seed = 0; seed < 20; seed++) {
      RequestFraming framing = new RequestFraming(MAX_HEAD_BYTES);
      read(framing, NEXT + text + NEXT, seed);
      assertThat(status(framing)).contains(form.status());
      assertThat(framing.fault().orElseThrow().requestsBefore()).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#improper")
  void withholdsImproperRequestAndKeepsTheOneBefore(RequestForms.Form form) {
    byte[] bytes = (NEXT + form.toRequest("/x", "") + NEXT).getBytes(StandardCharsets.ISO_8859_1);

    assertThat(new RequestFraming(MAX_HEAD_BYTES).read(bytes, 0, bytes.length))
        .isEqualTo(NEXT.length());
  }

  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#proper")
  void acceptsProperRequests(RequestForms.Form form) {
    String text = form.toRequest("/x", "").repeat(3) + "\r\n" + NEXT;
    for (int seed = 0; seed < 20; seed++) {
      RequestFraming framing = new RequestFraming(MAX_HEAD_BYTES);
      assertThat(read(framing, text, seed)).isEqualTo(text.length());
      assertThat(framing.fault()).isEmpty();
    }
  }

  /**
   * Guards against heads whose size has no bound, in any of their parts. Each part is repeated
   * until the head has a number of bytes.
   */
  @ParameterizedTest
  @CsvSource({
    // start, repeated part, end of the head, size beyond the limit; ~ is a line end
    "'', '~', 'GET /y HTTP/1.1~Host: h~~', 0",
    "'', '~', '', 1",
    "'GET /', 'x', ' HTTP/1.1~Host: h~~', 0",
    "'GET /', 'x', '', 1",
    "'GET / HTTP/1.1~Host: ', 'h', '~~', 0",
    "'GET / HTTP/1.1~Host: ', 'h', '', 1",
    "'GET / HTTP/1.1~Host: h~Own: ', 'x', '~~', 0",
    "'GET / HTTP/1.1~Host: h~Own: ', 'x', '', 1",
    "'GET / HTTP/1.1~Host: h~', 'Own: yes~', '', 1"
  })
  void limitsSizeOfHeads(String start, String repeated, String end, int excess) {
    String first = unescape(start);
    String part = unescape(repeated);
    int left = MAX_HEAD_BYTES + excess - first.length() - unescape(end).length();
    // An even number of line ends leaves no half of one.
    String filled = part.repeat(left / part.length());
    String text = first + filled + unescape(end);
    RequestFraming framing = new RequestFraming(MAX_HEAD_BYTES);
    read(framing, NEXT + text, 1);
    if (excess == 0) {
      assertThat(framing.fault()).isEmpty();
      assertThat(framing.completed()).isEqualTo(2);
      assertThat(framing.headBytes()).isZero();
    } else {
      read(framing, part, 2);
      read(framing, part, 3);
      assertThat(status(framing)).contains(431);
      assertThat(framing.fault().orElseThrow().requestsBefore()).isEqualTo(1);
    }
  }

  private static String unescape(String text) {
    return text.replace("~", "\r\n");
  }

  @Provide
  Arbitrary<String> lengths() {
    return Arbitraries.strings().withChars("0123456789 +-,xA\t\r\n").ofMinLength(0).ofMaxLength(12);
  }

  /** The reference reads the whole value at once; a pass must delimit the body as it says. */
  @Property(seed = "47", tries = 5_000)
  void readsLengthsAsReference(@ForAll("lengths") String value, @ForAll long seed) {
    Assume.that(!value.contains("\r\n"));
    String digits = value.replaceAll("^[ \t]+|[ \t]+$", "");
    boolean isProper = digits.matches("[0-9]+") && Long.parseLong(digits) <= Integer.MAX_VALUE;
    String text = START + "Content-Length:" + value + "\r\n\r\n";
    RequestFraming framing = new RequestFraming(MAX_HEAD_BYTES);
    read(framing, text, seed);

    assertThat(framing.fault().isEmpty()).as(value).isEqualTo(isProper);
    if (isProper && Long.parseLong(digits) < 1_000) {
      // A fault right after the body shows where it ends.
      read(framing, "b".repeat(Integer.parseInt(digits)), seed);
      assertThat(framing.fault()).isEmpty();
      read(framing, " \r\n", seed);
      assertThat(framing.fault().orElseThrow().requestsBefore()).isEqualTo(1);
    }
  }

  @Provide
  Arbitrary<String> sizes() {
    return Arbitraries.oneOf(
        Arbitraries.strings().withChars("0123456789abcdefABCDEFg +-;\t\r\n").ofMaxLength(10),
        Arbitraries.of("3", "03", "3;a", "3;a=\"b\"", "00000003", "000000003", "7fffffff"));
  }

  @Property(seed = "47", tries = 5_000)
  void readsChunkSizesAsReference(@ForAll("sizes") String size, @ForAll long seed) {
    Assume.that(!size.contains("\r\n"));
    boolean isProper = size.matches("[0-9a-fA-F]{1,8}(;[^\\p{Cntrl}]*(\t[^\\p{Cntrl}]*)*)?");
    long value = isProper ? Long.parseLong(size.replaceAll(";.*", ""), 16) : -1;
    isProper &= value <= Integer.MAX_VALUE;
    RequestFraming framing = new RequestFraming(MAX_HEAD_BYTES);
    read(framing, START + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n", seed);

    assertThat(framing.fault().isEmpty()).as(size).isEqualTo(isProper);
    if (isProper && value > 0 && value < 1_000) {
      read(framing, "b".repeat((int) value) + "\r\n0\r\n\r\n \r\n", seed);
      assertThat(framing.fault().orElseThrow().requestsBefore()).isEqualTo(1);
    }
  }

  @Provide
  Arbitrary<List<String>> fields() {
    Arbitrary<String> names =
        Arbitraries.of(
            "Content-Length", "content-length", "Transfer-Encoding", "X", "X ", "", "a(");
    Arbitrary<String> values = Arbitraries.of("3", "0", "3 ", "chunked", "Chunked", "gzip", "x");
    return Combinators.combine(names, values).as((n, v) -> n + ": " + v).list().ofMaxSize(3);
  }

  /** Whatever the fields are, either the reference finds the same body, or there is a fault. */
  @Property(seed = "47", tries = 5_000)
  void readsFieldsAsReference(@ForAll("fields") List<String> fields, @ForAll long seed) {
    List<String> lengths = values(fields, "content-length");
    List<String> codings = values(fields, "transfer-encoding");
    boolean isProper =
        fields.stream().allMatch(f -> f.matches("[A-Za-z-]+: .*"))
            && lengths.stream().allMatch(v -> v.matches("[0-9]+"))
            && lengths.stream().distinct().count() <= 1
            && (codings.isEmpty()
                || (lengths.isEmpty() && codings.size() == 1 && codings.get(0).matches("chunked")));
    RequestFraming framing = new RequestFraming(MAX_HEAD_BYTES);
    String head = START + String.join("\r\n", fields) + (fields.isEmpty() ? "" : "\r\n") + "\r\n";
    read(framing, head, seed);
    assertThat(framing.fault().isEmpty()).as(head).isEqualTo(isProper);
    if (isProper) {
      boolean hasBody = lengths.contains("3");
      String body = codings.isEmpty() ? (hasBody ? BODY : "") : "3\r\nabc\r\n0\r\n\r\n";
      read(framing, body + " \r\n", seed);
      assertThat(framing.fault().orElseThrow().requestsBefore()).as(head).isEqualTo(1);
    }
  }

  private static List<String> values(List<String> fields, String name) {
    return fields.stream()
        .filter(f -> f.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(f -> f.substring(name.length() + 1).strip().toLowerCase(Locale.ROOT))
        .toList();
  }
}
