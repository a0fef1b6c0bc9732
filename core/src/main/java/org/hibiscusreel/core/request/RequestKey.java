package org.hibiscusreel.core.request;

import java.util.Objects;

/**
 * Identifier of a request: its client account and the request identifier given by the caller.
 *
 * @param account identifier of the client account, not empty
 * @param requestId idempotency key given by the caller, not empty, unique within the client account
 */
public record RequestKey(String account, String requestId) {

  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
   * @throws IllegalArgumentException if a component is empty
   */
  public RequestKey {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(requestId, "requestId");
    if (account.isEmpty() || requestId.isEmpty()) {
      throw new IllegalArgumentException("account and requestId must not be empty");
    }
  }
}
