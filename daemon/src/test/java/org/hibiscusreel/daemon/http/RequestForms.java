package org.hibiscusreel.daemon.http;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Requests whose framing RFC 9112 lets a server refuse, and proper ones. */
public final class RequestForms {

  /** Body of the requests. */
  public static final String BODY = "{\"a\":1}";

  private static final String START = "POST PATH HTTP/1.1\r\nHost: h\r\nFIELDS";
  private static final String LENGTH = "Content-Length: 7\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String END = "\r\n";

  /**
   * One form of a request.
   *
   * @param name what it shows
   * @param text the request; {@code PATH} stands for its path and {@code FIELDS} for the header
   *     fields that the server needs
   * @param status status of the response, 0 if the request is served
   */
  public record Form(String name, String text, int status) {

    /** Returns the request to a path with header fields, each ended by a line end. */
    public String toRequest(String path, String fields) {
      return text.replace("PATH", path).replace("FIELDS", fields);
    }

    @Override
    public String toString() {
      return name;
    }
  }

  private RequestForms() {}

  private static Form lengths(String name, String fields) {
    return new Form(name, START + fields + END + BODY, 400);
  }

  private static Form coding(String name, int status, String fields) {
    return new Form(name, START + fields + END + chunk("7"), status);
  }

  private static Form head(String name, String head) {
    return new Form(name, head, 400);
  }

  private static Form chunks(String name, String chunks) {
    return new Form(name, START + CHUNKED + END + chunks, 400);
  }

  private static String chunk(String size) {
    return size + "\r\n" + BODY + "\r\n0\r\n\r\n";
  }

  private static String start(String line) {
    return line + "\r\nHost: h\r\nFIELDS" + LENGTH + END + BODY;
  }

  /** Returns the forms that are refused, one of each kind. */
  public static Stream<Form> improper() {
    return Stream.of(
            lengthForms(), codingForms(), fieldForms(), lineForms(), targetForms(), chunkForms())
        .flatMap(List::stream);
  }

  private static List<Form> lengthForms() {
    return List.of(
        lengths("two lengths", LENGTH + "Content-Length: 0\r\n"),
        lengths("two lengths in a list", "Content-Length: 7, 0\r\n"),
        lengths("a length that is no number", "Content-Length: x\r\n"),
        lengths("a hexadecimal length", "Content-Length: 0x7\r\n"),
        lengths("a length with a plus", "Content-Length: +7\r\n"),
        lengths("a negative length", "Content-Length: -7\r\n"),
        lengths("an empty length", "Content-Length:\r\n"),
        lengths("a length with a space", "Content-Length: 7 0\r\n"),
        lengths("a length beyond 31 bits", "Content-Length: 2147483648\r\n"),
        lengths("a length beyond 64 bits", "Content-Length: 18446744073709551623\r\n"));
  }

  private static List<Form> codingForms() {
    return List.of(
        coding("an unknown coding", 501, "Transfer-Encoding: xchunked\r\n"),
        coding("identity", 501, "Transfer-Encoding: identity\r\n"),
        coding("a coding before chunked", 501, "Transfer-Encoding: gzip, chunked\r\n"),
        coding("codings in two fields", 501, "Transfer-Encoding: gzip\r\n" + CHUNKED),
        coding("an unknown one before chunked", 501, "Transfer-Encoding: x, chunked\r\n"),
        coding("a last coding that is not chunked", 400, "Transfer-Encoding: chunked, gzip\r\n"),
        coding("no chunked", 400, "Transfer-Encoding: gzip\r\n"),
        coding("chunked twice", 400, CHUNKED + CHUNKED),
        coding("no coding", 400, "Transfer-Encoding:\r\n"),
        coding("a parameter", 400, "Transfer-Encoding: chunked;q=1\r\n"),
        coding("a coding and a length", 400, CHUNKED + "Content-Length: 17\r\n"),
        coding("a length and a coding", 400, "Content-Length: 17\r\n" + CHUNKED),
        new Form(
            "a coding in HTTP/1.0",
            "POST PATH HTTP/1.0\r\nHost: h\r\nFIELDS" + CHUNKED + END + chunk("7"),
            400));
  }

  private static List<Form> fieldForms() {
    return List.of(
        lengths("a space before the colon", "Content-Length : 7\r\n"),
        lengths("a tab before the colon", "Content-Length\t: 7\r\n"),
        lengths("a space in another name", LENGTH + "Tenant : x\r\n"),
        lengths("a name that is no token", LENGTH + "a(b): x\r\n"),
        lengths("an empty name", LENGTH + ": x\r\n"),
        lengths("no colon", LENGTH + "abc\r\n"),
        lengths("a folded line", LENGTH + "X: a\r\n b\r\n"),
        lengths("a length on a folded line", "Content-Length:\r\n 7\r\n"),
        lengths("a NUL", LENGTH + "X: a\0b\r\n"),
        lengths("another control character", LENGTH + "X: a\u0001b\r\n"),
        lengths("a bare CR", LENGTH + "X: a\rContent-Length: 0\r\n"),
        lengths("a bare LF", LENGTH + "X: a\nY: b\r\n"),
        lengths("two hosts", LENGTH + "Host: other\r\n"),
        head("no host", "POST PATH HTTP/1.1\r\nFIELDS" + LENGTH + END + BODY),
        head(
            "white space before the first field",
            "POST PATH HTTP/1.1\r\n Host: h\r\nFIELDS" + LENGTH + END + BODY),
        head("a bare LF at the end", START + LENGTH + "\n" + BODY),
        head("an upgrade", START + "Connection: upgrade\r\nUpgrade: websocket\r\n" + END));
  }

  private static List<Form> lineForms() {
    return List.of(
        head("a request line with a bare LF", "POST PATH HTTP/1.1\nHost: h\r\nFIELDS\r\n"),
        head("two spaces after the method", start("POST  PATH HTTP/1.1")),
        head("two spaces after the target", start("POST PATH  HTTP/1.1")),
        head("a space in the target", start("POST PATH x HTTP/1.1")),
        head("a space at the end", start("POST PATH HTTP/1.1 ")),
        head("a tab", start("POST\tPATH HTTP/1.1")),
        head("no version", start("POST PATH")),
        head("an unknown version", start("POST PATH HTTP/1.2")),
        head("a version with more digits", start("POST PATH HTTP/1.11")),
        head("an older version", start("POST PATH HTTP/0.9")),
        head("a method that is no token", start("PO(ST PATH HTTP/1.1")));
  }

  private static List<Form> targetForms() {
    return List.of(
        head("the absolute form", start("POST http://other.examplePATH HTTP/1.1")),
        head("the authority form", start("CONNECT other.example:80 HTTP/1.1")),
        head("a path without a slash", start("POST xPATH HTTP/1.1")),
        head("an asterisk", start("POST * HTTP/1.1")),
        head("a fragment", start("POST PATH#x HTTP/1.1")),
        head("a target with two slashes", start("POST //otherPATH HTTP/1.1")),
        head("a control character in the target", start("POST PATH\u0001 HTTP/1.1")));
  }

  private static List<Form> chunkForms() {
    return List.of(
        chunks("a size that is no number", chunk("g")),
        chunks("an empty size", chunk("")),
        chunks("a signed size", chunk("+7")),
        chunks("a negative size", chunk("-7")),
        chunks("a size with a prefix", chunk("0x7")),
        chunks("a size beyond 31 bits", chunk("80000000")),
        chunks("a size beyond 32 bits", chunk("100000007")),
        chunks("a size with junk after it", chunk("7 x")),
        chunks("a size with a space after it", chunk("7 ")),
        chunks("a size with a space before it", chunk(" 7")),
        chunks("a size that ends with a bare LF", "7\n" + BODY + "\r\n0\r\n\r\n"),
        chunks("an extension with a bare LF", chunk("7;a\nb")),
        chunks("an extension with a bare CR", chunk("7;a\rb")),
        chunks("an extension with a NUL", chunk("7;a\0b")),
        chunks("a chunk that is longer than its size", chunk("6")),
        chunks("a chunk that ends with a bare LF", "7\r\n" + BODY + "\n0\r\n\r\n"),
        chunks("a trailer with a space before the colon", "0\r\nX : a\r\n\r\n"),
        chunks("a folded trailer", "0\r\nX: a\r\n b\r\n\r\n"),
        chunks("a trailer with a bare LF", "0\r\nX: a\n\r\n\r\n"));
  }

  /** Returns the forms that are served; their body is always the same. */
  public static Stream<Form> proper() {
    return Stream.of(
        served("a length", START + LENGTH + END + BODY),
        served("zeros before the length", START + "Content-Length: 007\r\n" + END + BODY),
        served("the same length twice", START + LENGTH + LENGTH + END + BODY),
        served("a chunk", START + CHUNKED + END + chunk("7")),
        served("a coding in capitals", START + "transfer-ENCODING:Chunked\r\n" + END + chunk("07")),
        served(
            "extensions and trailers",
            START + CHUNKED + END + "7;a=b;c=\"d e\"\r\n" + BODY + "\r\n0;x\r\nA: b\r\nC:\r\n\r\n"),
        served("empty fields", START + LENGTH + "X:\r\nY: \t \r\n" + END + BODY),
        served("a query", START.replace("PATH", "PATH?a=//b") + LENGTH + END + BODY),
        served("many fields", START + manyFields() + LENGTH + END + BODY),
        served("an expectation", START + "Expect: 100-continue\r\n" + LENGTH + END + BODY));
  }

  private static String manyFields() {
    return IntStream.range(0, 90)
        .mapToObj(i -> "X-" + i + ": " + i + "\r\n")
        .collect(Collectors.joining());
  }

  private static Form served(String name, String text) {
    return new Form(name, text, 0);
  }
}
