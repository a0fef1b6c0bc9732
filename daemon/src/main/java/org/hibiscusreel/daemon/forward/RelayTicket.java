package org.hibiscusreel.daemon.forward;

import java.util.Optional;
import org.hibiscusreel.core.forward.UpstreamEntry;

/**
 * Header field with which a daemon asks another one to relay a request. The upstream is named by
 * its identity, so that a relay passes requests only to upstreams that it knows itself.
 *
 * @param nonce random text that a refusal of the relay repeats. An upstream never sees it, so that
 *     no response of an upstream can be taken for a refusal
 * @param startedAtMillis start of the instance of the upstream
 * @param upstream identity of the upstream
 */
record RelayTicket(String nonce, long startedAtMillis, String upstream) {

  /** Field of a request that names the upstream. */
  static final String REQUEST_FIELD = "Relay-Upstream";

  /** Field of a response of the relay itself, which proves that nothing was sent. */
  static final String REFUSAL_FIELD = "Relay-Refused";

  private static final int PARTS = 3;

  static RelayTicket of(UpstreamEntry upstream, long random) {
    return new RelayTicket(Long.toHexString(random), upstream.startedAtMillis(), upstream.id());
  }

  String toText() {
    return nonce + " " + startedAtMillis + " " + upstream;
  }

  static Optional<RelayTicket> parse(String text) {
    String[] parts = text.strip().split(" ", PARTS);
    try {
      return parts.length == PARTS
          ? Optional.of(new RelayTicket(parts[0], Long.parseLong(parts[1]), parts[2]))
          : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns the value of the field of a refusal. */
  String toRefusal(RelayRefusal reason) {
    return nonce + " " + reason.toText();
  }

  /** Returns the reason in the field of a refusal, or empty if it does not answer this ticket. */
  Optional<RelayRefusal> refusal(String text) {
    return text != null && text.startsWith(nonce + " ")
        ? RelayRefusal.parse(text.substring(nonce.length() + 1).strip())
        : Optional.empty();
  }
}
