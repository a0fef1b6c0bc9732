package org.hibiscusreel.core.config;

import java.util.List;

/**
 * Configured client account.
 *
 * @param id identifier
 * @param keyDigests SHA-256 digests of the client keys, in hexadecimal
 * @param budgets budgets that the account may charge; the first is the default
 * @param maxConcurrent maximum number of requests in progress at one daemon, 0 for no limit
 * @param requestsPerSecond rate limit at one daemon in requests per second, 0 for no limit
 */
public record ClientAccount(
    String id,
    List<String> keyDigests,
    List<String> budgets,
    int maxConcurrent,
    double requestsPerSecond) {

  /** Copies the lists. */
  public ClientAccount {
    keyDigests = List.copyOf(keyDigests);
    budgets = List.copyOf(budgets);
  }
}
