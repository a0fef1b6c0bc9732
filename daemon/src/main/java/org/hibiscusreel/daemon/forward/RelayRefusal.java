package org.hibiscusreel.daemon.forward;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Why a daemon did not relay a request, of which it then has sent nothing. */
enum RelayRefusal {
  /** The daemon reaches no upstream itself. */
  ISOLATED(true),
  /** The daemon relays as many connections as it can. */
  BUSY(true),
  /** The daemon is stopping. */
  STOPPING(true),
  /** The daemon knows no such instance of the upstream that takes requests. */
  UNKNOWN(false),
  /** The upstream asked the daemon for a pause. */
  PAUSED(false),
  /** No connection to the upstream was opened. */
  UNREACHABLE(false);

  private final boolean isAboutRelay;

  RelayRefusal(boolean isAboutRelay) {
    this.isAboutRelay = isAboutRelay;
  }

  /** Returns whether the daemon would refuse requests to other upstreams, too. */
  boolean isAboutRelay() {
    return isAboutRelay;
  }

  String toText() {
    return name().toLowerCase(Locale.ROOT);
  }

  static Optional<RelayRefusal> parse(String text) {
    return Stream.of(values()).filter(r -> r.toText().equals(text)).findFirst();
  }
}
