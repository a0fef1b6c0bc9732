package org.hibiscusreel.daemon.http;

import java.util.Locale;
import java.util.Objects;
import java.util.Set;

/**
 * Reads the part of the grammar of RFC 9112 that requests and responses have in common, from the
 * raw bytes of a connection: field lines, lengths, transfer codings and chunks. A message whose
 * framing another recipient could read differently is at fault, and so is everything after it.
 * Bytes are looked at once and bodies are skipped.
 */
abstract class MessageFraming {

  /**
   * Where the grammars differ.
   *
   * @param checkedNames names of the fields that {@link #onField} gets, in lower case, not longer
   *     than the name of the transfer coding
   * @param skipsEmptyLines whether empty lines may precede a message
   * @param acceptsBareLf whether a LF without a CR ends a start line or a field line
   * @param maxSizeDigits longest chunk size that the HTTP library reads, in digits
   * @param maxHeadBytes largest head with the empty lines before it, in bytes
   */
  record Grammar(
      Set<String> checkedNames,
      boolean skipsEmptyLines,
      boolean acceptsBareLf,
      int maxSizeDigits,
      int maxHeadBytes) {

    /** Copies the set. */
    Grammar {
      checkedNames = Set.copyOf(checkedNames);
    }
  }

  /** Why a message is at fault. */
  enum FaultKind {
    /** The message is improper. */
    MALFORMED,
    /** The message may be proper, but has a coding that is not supported. */
    UNSUPPORTED,
    /** The head is larger than the limit. */
    HEAD_TOO_LARGE
  }

  private static final String LENGTH = "content-length";
  private static final String CODING = "transfer-encoding";

  /** Longest name of a checked field; longer names are not kept. */
  private static final int MAX_KEPT_NAME = CODING.length();

  /** Longest value of a checked field, and longest start line, in bytes. */
  private static final int MAX_KEPT_VALUE = 64 * 1024;

  /** Longest head, and longest extensions and trailers beyond two bytes for each of a body. */
  private static final int MAX_SECTION_BYTES = 256 * 1024;

  /** Capacity up to which the buffer of a line is kept for the next message, in characters. */
  private static final int KEPT_CAPACITY = 512;

  private static final Set<String> KNOWN_CODINGS =
      Set.of("chunked", "gzip", "x-gzip", "deflate", "compress", "x-compress");

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private enum State {
    BEFORE_MESSAGE,
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

  private final Grammar grammar;
  private StringBuilder kept = new StringBuilder();
  private State state = State.BEFORE_MESSAGE;
  private boolean sawCr;
  private boolean isHeadRead;
  private boolean isTrailer;
  private boolean isOldVersion;
  private String checkedName = "";
  private String codings;
  private boolean hasTwoCodings;
  private long length;
  private long remaining;
  private int digits;
  private int headBytes;
  private int sectionBytes;
  private long completed;
  private boolean isFaulty;

  MessageFraming(Grammar grammar) {
    this.grammar = Objects.requireNonNull(grammar, "grammar");
  }

  /** Called before the first byte of a message. */
  abstract void onBegin();

  /** Tells whether the start line may contain a character. */
  abstract boolean isStartLineCharacter(int c);

  abstract void onStartLine(String line);

  /** Called with each checked field of a head. */
  void onField(String name, String value) {}

  /**
   * Called after the last field of a head.
   *
   * @return whether a body follows if the fields state one
   */
  abstract boolean onHeadEnd();

  /**
   * Called with the first fault only.
   *
   * @param reason what is wrong
   * @param kind of what kind it is
   */
  abstract void onFault(String reason, FaultKind kind);

  /** Returns the number of messages that were read to their end. */
  final long completed() {
    return completed;
  }

  /** Tells whether the next byte is the first one of a message, or of an empty line before it. */
  final boolean isBetweenMessages() {
    return state == State.BEFORE_MESSAGE && !sawCr;
  }

  /**
   * Returns the size in bytes of the head of a message that is not complete, as far as it was read,
   * with the empty lines before it.
   */
  final int headBytes() {
    return headBytes;
  }

  /** Tells whether a head, or an empty line before it, has begun and lacks its end. */
  final boolean isInHead() {
    return headBytes > 0 && isHeadState();
  }

  private boolean isHeadState() {
    return !isTrailer && state.compareTo(State.HEAD_END) <= 0;
  }

  /** Tells whether the head of the last message that has begun was read and is proper. */
  final boolean isHeadRead() {
    return isHeadRead;
  }

  final boolean isFaulty() {
    return isFaulty;
  }

  final boolean hasOldVersion() {
    return isOldVersion;
  }

  final boolean hasCoding() {
    return codings != null;
  }

  /** Returns the length that the head states in bytes, 0 if it states none. */
  final long length() {
    return Math.max(0, length);
  }

  /**
   * Reads one byte, or as much as there is of a body. Must not be called after a fault.
   *
   * @param bytes array that holds the bytes
   * @param from index of the first one
   * @param to index after the last one, greater than {@code from}
   * @return index of the next byte to read
   */
  final int readNext(byte[] bytes, int from, int to) {
    if (state != State.BODY && state != State.CHUNK) {
      countHead();
      if (!isFaulty) {
        step(bytes[from] & 0xff);
      }
      return from + 1;
    }
    int skipped = (int) Math.min(remaining, to - from);
    remaining -= skipped;
    sectionBytes = (int) Math.max(0, sectionBytes - 2L * skipped);
    if (remaining == 0) {
      if (state == State.BODY) {
        complete();
        state = State.BEFORE_MESSAGE;
      } else {
        state = State.CHUNK_CR;
      }
    }
    return from + skipped;
  }

  private void countHead() {
    if (isHeadState()) {
      headBytes++;
      if (headBytes > grammar.maxHeadBytes()) {
        fail("a head that is too large", FaultKind.HEAD_TOO_LARGE);
      }
    }
  }

  private void step(int c) {
    switch (state) {
      case BEFORE_MESSAGE -> readBeforeMessage(c);
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

  private void readBeforeMessage(int c) {
    if (sawCr) {
      sawCr = false;
      expectLf(c, State.BEFORE_MESSAGE);
    } else if (c == '\r' && grammar.skipsEmptyLines()) {
      sawCr = true;
    } else {
      kept.setLength(0);
      checkedName = "";
      codings = null;
      hasTwoCodings = false;
      isOldVersion = false;
      length = -1;
      sectionBytes = 0;
      isHeadRead = false;
      isTrailer = false;
      onBegin();
      state = State.START_LINE;
      readStartLine(c);
    }
  }

  private void readStartLine(int c) {
    if (isLineEnd(c)) {
      onStartLine(kept.toString());
      state = c == '\r' ? State.LINE_END : State.LINE_BEGIN;
    } else if (isStartLineCharacter(c)) {
      keep(c);
    } else {
      fail("a character in the start line that it may not contain");
    }
  }

  private boolean isLineEnd(int c) {
    return c == '\r' || (c == '\n' && grammar.acceptsBareLf());
  }

  /** Checks the version of a message, which the start line contains. */
  final void checkVersion(String version) {
    isOldVersion = version.equals("HTTP/1.0");
    if (!isOldVersion && !version.equals("HTTP/1.1")) {
      fail("a version of HTTP other than 1.1 and 1.0");
    }
  }

  static boolean isToken(String text) {
    return !text.isEmpty() && text.chars().allMatch(MessageFraming::isTokenCharacter);
  }

  private static boolean isTokenCharacter(int c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || TOKEN_SYMBOLS.indexOf(c) >= 0;
  }

  private static boolean isControl(int c) {
    return (c < ' ' && c != '\t') || c == 0x7f;
  }

  private void readLineBegin(int c) {
    if (c == '\r') {
      state = State.HEAD_END;
    } else if (isLineEnd(c)) {
      readHeadEnd(c);
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
      checkedName = !isTrailer && isChecked(name) ? name : "";
      kept.setLength(0);
      state = State.VALUE;
    } else if (!isTokenCharacter(c)) {
      fail("a field name that is not a token");
    } else if (kept.length() <= MAX_KEPT_NAME) {
      kept.append((char) c);
    }
  }

  private boolean isChecked(String name) {
    return name.equals(LENGTH) || name.equals(CODING) || grammar.checkedNames().contains(name);
  }

  private void readValue(int c) {
    countSection();
    if (isLineEnd(c)) {
      state = c == '\r' ? State.LINE_END : State.LINE_BEGIN;
      if (!checkedName.isEmpty()) {
        checkField(kept.toString());
      }
    } else if (isControl(c)) {
      fail("a control character in a field");
    } else if (!checkedName.isEmpty()) {
      keep(c);
    }
  }

  private void checkField(String value) {
    String text = value.strip();
    switch (checkedName) {
      case LENGTH -> checkLength(text);
      case CODING -> {
        hasTwoCodings |= codings != null;
        codings = codings == null ? text : codings + "," + text;
        // The library knows the coding only without white space after it.
        hasTwoCodings |= value.endsWith(" ") || value.endsWith("\t");
      }
      default -> onField(checkedName, text);
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
    expectLf(c, State.BEFORE_MESSAGE);
    if (isFaulty) {
      return;
    }
    if (isTrailer) {
      isTrailer = false;
      complete();
      return;
    }
    if (kept.capacity() > KEPT_CAPACITY) {
      kept = new StringBuilder();
    }
    final boolean hasBody = onHeadEnd();
    if (!isFaulty && codings != null) {
      checkCodings();
    }
    if (isFaulty) {
      return;
    }
    isHeadRead = true;
    if (hasBody && codings != null) {
      state = State.SIZE_BEGIN;
      digits = 0;
    } else if (hasBody && length > 0) {
      remaining = length;
      state = State.BODY;
    } else {
      complete();
    }
  }

  private void complete() {
    completed++;
    headBytes = 0;
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
      failUnsupported("an unknown transfer coding");
    } else if (!last.equals("chunked") || chunkedCount != 1) {
      fail("a transfer coding that is not chunked at its end, once");
    } else if (names.length > 1) {
      failUnsupported("a transfer coding before chunked");
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
      if (digits > grammar.maxSizeDigits() || remaining > Integer.MAX_VALUE) {
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
    } else if (isControl(c)) {
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

  /** Records that the message is improper. */
  final void fail(String reason) {
    fail(reason, FaultKind.MALFORMED);
  }

  private void fail(String reason, FaultKind kind) {
    if (!isFaulty) {
      isFaulty = true;
      kept = new StringBuilder();
      onFault(reason, kind);
    }
  }

  private void failUnsupported(String reason) {
    fail(reason, FaultKind.UNSUPPORTED);
  }
}
