package org.hibiscusreel.coordination.config;

import java.util.Map;

/** Bodies of configurations for tests. */
final class Bodies {

  private Bodies() {}

  /** Returns a valid body of the site {@code north} that differs by its number. */
  static ConfigurationBody numbered(int number) {
    return new ConfigurationBody(
        "[sites.north]\nfailure_domains = [\"n-a\"]\n",
        Map.of("north", "[serving]\nmax_tokens = " + number + "\n"));
  }
}
