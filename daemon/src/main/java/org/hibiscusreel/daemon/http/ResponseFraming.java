package org.hibiscusreel.daemon.http;

import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the one response on a connection as RFC 9112 says, from the raw bytes before anything else
 * reads them. A response whose head or framing is invalid must not be used, since its fields and
 * the end of its body can't be told.
 */
public final class ResponseFraming extends MessageFraming {

  private static final int MAX_SIZE_DIGITS = 9;
  private static final Grammar GRAMMAR =
      new Grammar(Set.of(), false, true, MAX_SIZE_DIGITS, Integer.MAX_VALUE);
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int FIRST_FINAL_STATUS = 200;

  /** The reason may be missing together with the space before it, which many servers leave out. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("(\\S+) ([1-5][0-9]{2})(?: .*)?", Pattern.DOTALL);

  private final boolean isHeadRequest;
  private int status;
  private String fault;

  /**
   * Creates a check of a response.
   *
   * @param requestMethod method of the request
   */
  public ResponseFraming(String requestMethod) {
    super(GRAMMAR);
    this.isHeadRequest = requestMethod.equals("HEAD");
  }

  /**
   * Tells whether a valid head was read and no body follows it, whatever its fields state.
   *
   * @return true if the response ends with its head
   */
  public boolean endsWithHead() {
    return isHeadRead() && !mayHaveBody();
  }

  private boolean mayHaveBody() {
    return !isHeadRequest
        && status >= FIRST_FINAL_STATUS
        && status != NO_CONTENT
        && status != NOT_MODIFIED;
  }

  /**
   * Reads the next bytes of the connection. Must not be called after a fault.
   *
   * @param bytes array that holds them
   * @param from index of the first one
   * @param to index after the last one
   * @return what is wrong with the response; empty if nothing is wrong so far
   */
  public Optional<String> read(byte[] bytes, int from, int to) {
    int i = from;
    // Bytes after the response belong to no request, and without a length all bytes are body.
    while (i < to && !isFaulty() && completed() == 0) {
      i = readNext(bytes, i, to);
    }
    return Optional.ofNullable(fault);
  }

  @Override
  void onBegin() {
    status = 0;
  }

  @Override
  boolean isStartLineCharacter(int c) {
    return c == '\t' || (c >= ' ' && c != 0x7f);
  }

  @Override
  void onStartLine(String line) {
    Matcher parts = STATUS_LINE.matcher(line);
    if (parts.matches()) {
      checkVersion(parts.group(1));
      status = Integer.parseInt(parts.group(2));
    } else {
      fail("a status line that is not VERSION STATUS REASON");
    }
  }

  @Override
  boolean onHeadEnd() {
    if (status == NO_CONTENT && (hasCoding() || length() > 0)) {
      fail("a body in a response without content");
    }
    return mayHaveBody();
  }

  @Override
  void onFault(String reason, FaultKind kind) {
    fault = reason;
  }
}
