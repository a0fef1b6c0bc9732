package org.hibiscusreel.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;

/**
 * Decides where the requests on one connection begin and end, as RFC 9112 says, from the raw bytes
 * before anything else reads them. A request whose framing another recipient could read differently
 * is at fault, and so is everything after it. Bytes are looked at once and bodies are skipped.
 */
public final class RequestFraming extends MessageFraming {

  private static final int MAX_SIZE_DIGITS = 8;
  private static final int BAD_REQUEST = 400;
  private static final int HEAD_TOO_LARGE = 431;
  private static final int NOT_IMPLEMENTED = 501;
  private static final String HOST = "host";
  private static final String UPGRADE = "upgrade";

  private static final Set<String> CHECKED_NAMES = Set.of(HOST, UPGRADE);

  /**
   * Why a request is refused.
   *
   * @param status HTTP status
   * @param reason what is wrong
   * @param requestsBefore number of proper requests before it on the connection
   */
  public record Fault(int status, String reason, long requestsBefore) {}

  private int hosts;
  private Fault fault;

  /**
   * Creates a reader of the requests on one connection.
   *
   * @param maxHeadBytes largest head of a request with the empty lines before it, in bytes
   */
  RequestFraming(int maxHeadBytes) {
    // RFC 9112 has a server ignore empty lines before a request.
    super(new Grammar(CHECKED_NAMES, true, false, MAX_SIZE_DIGITS, maxHeadBytes));
  }

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
    while (i < to && !isFaulty()) {
      if (isBetweenMessages()) {
        requestStart = i;
      }
      i = readNext(bytes, i, to);
    }
    return isFaulty() ? requestStart : to;
  }

  @Override
  void onBegin() {
    hosts = 0;
  }

  @Override
  boolean isStartLineCharacter(int c) {
    return c >= ' ' && c <= '~';
  }

  @Override
  void onStartLine(String line) {
    String[] parts = line.split(" ", -1);
    if (parts.length != 3 || !isToken(parts[0])) {
      fail("a request line that is not METHOD TARGET VERSION");
      return;
    }
    checkVersion(parts[2]);
    String target = parts[1];
    // Readers differ on whether a host follows two slashes; a target has no fragment.
    boolean isPath = target.startsWith("/") && !target.startsWith("//") && !target.contains("#");
    if (!isPath && !(target.equals("*") && parts[0].equals("OPTIONS"))) {
      fail("a target that is not a path");
    }
  }

  @Override
  void onField(String name, String value) {
    if (name.equals(HOST)) {
      hosts++;
      if (hosts > 1) {
        fail("more than one Host");
      }
    } else if (value.equalsIgnoreCase("websocket")) {
      // The library would take everything that follows for a part of the request.
      fail("an upgrade that is not supported");
    }
  }

  @Override
  boolean onHeadEnd() {
    if (hosts == 0 && !hasOldVersion()) {
      fail("no Host");
    }
    return true;
  }

  @Override
  void onFault(String reason, FaultKind kind) {
    int status =
        switch (kind) {
          case MALFORMED -> BAD_REQUEST;
          case UNSUPPORTED -> NOT_IMPLEMENTED;
          case HEAD_TOO_LARGE -> HEAD_TOO_LARGE;
        };
    fault = new Fault(status, reason, completed());
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
    String phrase =
        switch (fault.status()) {
          case NOT_IMPLEMENTED -> "Not Implemented";
          case HEAD_TOO_LARGE -> "Request Header Fields Too Large";
          default -> "Bad Request";
        };
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
