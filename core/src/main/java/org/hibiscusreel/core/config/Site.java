package org.hibiscusreel.core.config;

import java.util.List;

/**
 * Site with its failure domains.
 *
 * @param name name of the site
 * @param failureDomains names of the failure domains
 */
public record Site(String name, List<String> failureDomains) {

  /** Copies the list. */
  public Site {
    failureDomains = List.copyOf(failureDomains);
  }
}
