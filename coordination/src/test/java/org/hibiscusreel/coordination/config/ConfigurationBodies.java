package org.hibiscusreel.coordination.config;

import java.util.Map;

/** Creates configuration bodies for tests. */
final class ConfigurationBodies {

  private ConfigurationBodies() {}

  /** Returns a valid body for the site {@code north}, distinguished by its number. */
  static ConfigurationBody numbered(int number) {
    return new ConfigurationBody(
        "[sites.north]\nfailure_domains = [\"n-a\"]\n",
        Map.of("north", "[serving]\nmax_tokens = " + number + "\n"));
  }
}
