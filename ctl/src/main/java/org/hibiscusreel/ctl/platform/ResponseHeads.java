package org.hibiscusreel.ctl.platform;

import java.net.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks what the head of a response says of its body. The HTTP client of the JDK uses the first of
 * several lengths, and a body with a transfer coding that it doesn't know as it is. It has already
 * dropped lines that are no field, so these can't be found here.
 */
final class ResponseHeads {

  private static final int FIRST_STATUS = 200;
  private static final int LAST_STATUS = 599;
  private static final Pattern NUMBER = Pattern.compile("0*[0-9]{1,18}");

  private ResponseHeads() {}

  /** Returns why a response must not be used; empty if nothing is wrong with its head. */
  static Optional<String> fault(int status, HttpHeaders headers) {
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      return Optional.of("status " + status);
    }
    List<String> lengths = headers.allValues("Content-Length");
    if (!lengths.stream().allMatch(l -> NUMBER.matcher(l).matches())) {
      return Optional.of("a Content-Length that is not a number");
    }
    if (lengths.stream().mapToLong(Long::parseLong).distinct().count() > 1) {
      return Optional.of("lengths that differ");
    }
    List<String> codings = headers.allValues("Transfer-Encoding");
    if (codings.isEmpty()) {
      return Optional.empty();
    }
    if (!lengths.isEmpty()) {
      return Optional.of("a transfer coding and a Content-Length");
    }
    return codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked")
        ? Optional.empty()
        : Optional.of("a transfer coding that is not chunked");
  }
}
