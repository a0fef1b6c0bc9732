package org.hibiscusreel.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Decides where the requests on one connection begin and end, as RFC 9112 says, from the raw bytes
 * before anything else reads them. A request whose framing another recipient could read differently
 * is at fault, and so is everything after it. Bytes are looked at once and bodies are skipped.
 */
public final class RequestFraming {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_IMPLEMENTED = 501;
  private static final String HOST = "host";
  private static final String LENGTH = "content-length";
  private static final String CODING = "transfer-encoding";
  private static final String UPGRADE = "upgrade";
  private static final Set<String> CHECKED = Set.of(HOST, LENGTH, CODING, UPGRADE);

  /** Longest name of a checked field; longer names are not kept. */
  private static final int MAX_KEPT_NAME = CODING.length();

  /** Longest value of a checked field, and longest start line, in bytes. */
  private static final int MAX_KEPT_VALUE = 64 * 1024;

  /** Longest head, chunk extension or trailer section, in bytes. */
  private static final int MAX_SECTION_BYTES = 256 * 1024;

  /** Longest chunk size that the HTTP library reads, in digits. */
  private static final int MAX_SIZE_DIGITS = 8;

  private static final Set<String> KNOWN_CODINGS =
      Set.of("chunked", "gzip", "x-gzip", "deflate", "compress", "x-compress");

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  /**
   * Why a request is refused.
   *
   * @param status HTTP status
   * @param reason what is wrong
   * @param requestsBefore number of proper requests before it on the connection
   */
  public record Fault(int status, String reason, long requestsBefore) {}

  private enum State {
    BEFORE_REQUEST,
    START_LINE,
    LINE_BEGIN,
    NAME,
    VALUE,
    LINE_END,
    HEAD_END,
    BODY,
    SIZE_BEGIN,
    SIZE,
    EXTENSION,
    SIZE_END,
    CHUNK,
    CHUNK_CR,
    CHUNK_END
  }

  private final StringBuilder kept = new StringBuilder();
  private State state = State.BEFORE_REQUEST;
  private boolean sawCr;
  private boolean isTrailer;
  private boolean isOldVersion;
  private String checkedName = "";
  private String codings;
  private boolean hasTwoCodings;
  private long length;
  private long remaining;
  private int digits;
  private int sectionBytes;
  private int hosts;
  private long completed;
  private Fault fault;

  /** Returns what is wrong with the first improper request, if there was one. */
  Optional<Fault> fault() {
    return Optional.ofNullable(fault);
  }

  /**
   * Reads the next bytes of the connection.
   *
   * @param bytes array that holds them
   * @param from index of the first one
   * @param to index after the last one
   * @return index after the last byte that may be used: {@code to}, or the beginning of the part of
   *     an improper request
   */
  int read(byte[] bytes, int from, int to) {
    int requestStart = from;
    int i = from;
    while (i < to && fault == null) {
      if (state == State.BEFORE_REQUEST && !sawCr) {
        requestStart = i;
      }
      if (state == State.BODY || state == State.CHUNK) {
        int skipped = (int) Math.min(remaining, to - i);
        remaining -= skipped;
        i += skipped;
        if (remaining == 0) {
          completed += state == State.BODY ? 1 : 0;
          state = state == State.BODY ? State.BEFORE_REQUEST : State.CHUNK_CR;
        }
      } else {
        step(bytes[i] & 0xff);
        i++;
      }
    }
    return fault == null ? to : requestStart;
  }

  private void step(int c) {
    switch (state) {
      case BEFORE_REQUEST -> readBeforeRequest(c);
      case START_LINE -> readStartLine(c);
      case LINE_BEGIN -> readLineBegin(c);
      case NAME -> readName(c);
      case VALUE -> readValue(c);
      case LINE_END -> expectLf(c, State.LINE_BEGIN);
      case HEAD_END -> readHeadEnd(c);
      case SIZE_BEGIN, SIZE -> readSize(c);
      case EXTENSION -> readExtension(c);
      case SIZE_END -> readSizeEnd(c);
      case CHUNK_CR -> readChunkCr(c);
      case CHUNK_END -> expectLf(c, State.SIZE_BEGIN);
      default -> throw new IllegalStateException("a body has no lines");
    }
  }

  /** Skips empty lines, which RFC 9112 has a server ignore before a request. */
  private void readBeforeRequest(int c) {
    if (sawCr) {
      sawCr = false;
      expectLf(c, State.BEFORE_REQUEST);
    } else if (c == '\r') {
      sawCr = true;
    } else {
      kept.setLength(0);
      checkedName = "";
      codings = null;
      hasTwoCodings = false;
      length = -1;
      hosts = 0;
      sectionBytes = 0;
      isTrailer = false;
      state = State.START_LINE;
      readStartLine(c);
    }
  }

  private void readStartLine(int c) {
    if (c == '\r') {
      checkStartLine(kept.toString());
      state = State.LINE_END;
    } else if (c < ' ' || c > '~') {
      fail("a character in the request line that is not printable ASCII");
    } else {
      keep(c);
    }
  }

  private void checkStartLine(String line) {
    String[] parts = line.split(" ", -1);
    if (parts.length != 3 || !isToken(parts[0])) {
      fail("a request line that is not METHOD TARGET VERSION");
      return;
    }
    if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
      fail("a version of HTTP other than 1.1 and 1.0");
      return;
    }
    isOldVersion = parts[2].equals("HTTP/1.0");
    String target = parts[1];
    // Readers differ on whether a host follows two slashes; a target has no fragment.
    boolean isPath = target.startsWith("/") && !target.startsWith("//") && !target.contains("#");
    if (!isPath && !(target.equals("*") && parts[0].equals("OPTIONS"))) {
      fail("a target that is not a path");
    }
  }

  private static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(RequestFraming::isTokenCharacter);
  }

  private static boolean isTokenCharacter(int c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || TOKEN_SYMBOLS.indexOf(c) >= 0;
  }

  private void readLineBegin(int c) {
    if (c == '\r') {
      state = State.HEAD_END;
    } else {
      kept.setLength(0);
      state = State.NAME;
      readName(c);
    }
  }

  private void readName(int c) {
    countSection();
    if (c == ':' && kept.length() > 0) {
      String name = kept.length() > MAX_KEPT_NAME ? "" : kept.toString().toLowerCase(Locale.ROOT);
      checkedName = !isTrailer && CHECKED.contains(name) ? name : "";
      kept.setLength(0);
      state = State.VALUE;
    } else if (!isTokenCharacter(c)) {
      fail("a field name that is not a token");
    } else if (kept.length() <= MAX_KEPT_NAME) {
      kept.append((char) c);
    }
  }

  private void readValue(int c) {
    countSection();
    if (c == '\r') {
      state = State.LINE_END;
      if (!checkedName.isEmpty()) {
        checkField(kept.toString());
      }
    } else if ((c < ' ' && c != '\t') || c == 0x7f) {
      fail("a control character in a field");
    } else if (!checkedName.isEmpty()) {
      keep(c);
    }
  }

  private void checkField(String value) {
    String text = value.strip();
    switch (checkedName) {
      case HOST -> {
        hosts++;
        if (hosts > 1) {
          fail("more than one Host");
        }
      }
      case LENGTH -> checkLength(text);
      case CODING -> {
        hasTwoCodings |= codings != null;
        codings = codings == null ? text : codings + "," + text;
        // The library knows the coding only without white space after it.
        hasTwoCodings |= value.endsWith(" ") || value.endsWith("\t");
      }
      default -> {
        // The library would take everything that follows for a part of the request.
        if (text.equalsIgnoreCase("websocket")) {
          fail("an upgrade that is not supported");
        }
      }
    }
  }

  private void checkLength(String text) {
    if (text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      fail("a Content-Length that is not a number");
      return;
    }
    long value = 0;
    for (int i = 0; i < text.length() && value <= Integer.MAX_VALUE; i++) {
      value = value * 10 + text.charAt(i) - '0';
    }
    if (value > Integer.MAX_VALUE) {
      fail("a Content-Length beyond 31 bits");
    } else if (length >= 0 && length != value) {
      fail("lengths that differ");
    } else {
      length = value;
    }
  }

  private void readHeadEnd(int c) {
    expectLf(c, State.BEFORE_REQUEST);
    if (fault != null) {
      return;
    }
    if (isTrailer) {
      completed++;
    } else if (hosts == 0 && !isOldVersion) {
      fail("no Host");
    } else if (codings != null) {
      checkCodings();
      state = State.SIZE_BEGIN;
      digits = 0;
    } else if (length > 0) {
      remaining = length;
      state = State.BODY;
    } else {
      completed++;
    }
  }

  private void checkCodings() {
    String[] names = codings.toLowerCase(Locale.ROOT).split(",", -1);
    String last = names[names.length - 1].strip();
    long chunkedCount = 0;
    boolean isKnown = true;
    for (String name : names) {
      chunkedCount += name.strip().equals("chunked") ? 1 : 0;
      isKnown &= KNOWN_CODINGS.contains(name.strip()) || !isToken(name.strip());
    }
    if (length >= 0) {
      fail("a transfer coding and a Content-Length");
    } else if (isOldVersion) {
      fail("a transfer coding in HTTP/1.0");
    } else if (!isKnown) {
      fail(NOT_IMPLEMENTED, "an unknown transfer coding");
    } else if (!last.equals("chunked") || chunkedCount != 1) {
      fail("a transfer coding that is not chunked at its end, once");
    } else if (names.length > 1) {
      fail(NOT_IMPLEMENTED, "a transfer coding before chunked");
    } else if (hasTwoCodings) {
      fail("white space after the transfer coding");
    }
  }

  private void readSize(int c) {
    int digit = c < 0x80 ? Character.digit(c, 16) : -1;
    if (digit >= 0) {
      remaining = state == State.SIZE_BEGIN ? digit : remaining * 16 + digit;
      state = State.SIZE;
      digits++;
      if (digits > MAX_SIZE_DIGITS || remaining > Integer.MAX_VALUE) {
        fail("a chunk size beyond 31 bits");
      }
    } else if (state == State.SIZE && c == '\r') {
      state = State.SIZE_END;
    } else if (state == State.SIZE && c == ';') {
      state = State.EXTENSION;
    } else {
      fail("a chunk size that is not a hexadecimal number");
    }
  }

  private void readExtension(int c) {
    countSection();
    if (c == '\r') {
      state = State.SIZE_END;
    } else if ((c < ' ' && c != '\t') || c == 0x7f) {
      fail("a control character in a chunk extension");
    }
  }

  private void readSizeEnd(int c) {
    isTrailer = remaining == 0;
    expectLf(c, isTrailer ? State.LINE_BEGIN : State.CHUNK);
  }

  private void readChunkCr(int c) {
    digits = 0;
    state = State.CHUNK_END;
    if (c != '\r') {
      fail("a chunk that is longer than its size");
    }
  }

  private void expectLf(int c, State next) {
    state = next;
    if (c != '\n') {
      fail("a bare CR");
    }
  }

  private void keep(int c) {
    if (kept.length() >= MAX_KEPT_VALUE) {
      fail("a line that is too long");
    } else {
      kept.append((char) c);
    }
  }

  private void countSection() {
    sectionBytes++;
    if (sectionBytes > MAX_SECTION_BYTES) {
      fail("a head, chunk extensions or trailers that are too long");
    }
  }

  private void fail(String reason) {
    fail(BAD_REQUEST, reason);
  }

  private void fail(int status, String reason) {
    if (fault == null) {
      fault = new Fault(status, reason, completed);
    }
  }

  /**
   * Returns a response without a body that refuses a request.
   *
   * @param fault why it is refused
   * @return the bytes to send
   */
  public static byte[] toResponse(Fault fault) {
    return toResponse(fault, "", "");
  }

  /**
   * Returns a response that refuses a request.
   *
   * @param fault why it is refused
   * @param contentType type of the body, empty without one
   * @param body the body
   * @return the bytes to send
   */
  public static byte[] toResponse(Fault fault, String contentType, String body) {
    String phrase = fault.status() == NOT_IMPLEMENTED ? "Not Implemented" : "Bad Request";
    String type = contentType.isEmpty() ? "" : "Content-Type: " + contentType + "\r\n";
    int size = body.getBytes(StandardCharsets.UTF_8).length;
    return ("HTTP/1.1 "
            + fault.status()
            + " "
            + phrase
            + "\r\n"
            + type
            + "Content-Length: "
            + size
            + "\r\nConnection: close\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.UTF_8);
  }
}
