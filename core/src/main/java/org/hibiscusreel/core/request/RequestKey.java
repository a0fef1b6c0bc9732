package org.hibiscusreel.core.request;

import java.util.Objects;

/**
 * Identifies a request by its client account and the caller's request identifier.
 *
 * @param account identifier of the client account, not empty
 * @param requestId the caller's idempotency key, not empty, unique within the client account
 */
public record RequestKey(String account, String requestId) {

  /**
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
   * @throws IllegalArgumentException if a part is empty
   */
  public RequestKey {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(requestId, "requestId");
    if (account.isEmpty() || requestId.isEmpty()) {
      throw new IllegalArgumentException("account and requestId must not be empty");
    }
  }
}
