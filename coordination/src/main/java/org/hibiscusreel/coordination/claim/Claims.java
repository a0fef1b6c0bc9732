package org.hibiscusreel.coordination.claim;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.request.RequestKey;

/** Claims calls that must not be repeated. The futures returned never complete exceptionally. */
public interface Claims {

  /** Outcome of a look-up. */
  sealed interface LookUp {

    /**
     * The platform was read.
     *
     * @param row the current row, or empty
     */
    record Known(Optional<ClaimRow> row) implements LookUp {}

    /**
     * The platform can't be read.
     *
     * @param reason cause of the failure
     */
    record Unavailable(String reason) implements LookUp {}
  }

  /**
   * Claims a call before its dispatch.
   *
   * @param key the request
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param waitMillis longest time to wait for the platform, in milliseconds
   * @return the outcome
   */
  CompletableFuture<ClaimResult> claim(RequestKey key, String fingerprint, long waitMillis);

  /**
   * Withdraws a claim whose call was not dispatched and never will be.
   *
   * @param claim the claim
   * @return true if the withdrawal is committed, false if that is not known
   */
  CompletableFuture<Boolean> withdraw(Claim claim);

  /**
   * Records the outcome of the call. Retries in the background until it is written.
   *
   * @param claim the claim
   * @param status HTTP status of the outcome
   * @param contentType content type of the body, or empty
   * @param body the body
   */
  void finish(Claim claim, int status, String contentType, byte[] body);

  /**
   * Reads the current row of a claim.
   *
   * @param key the request
   * @return the outcome
   */
  CompletableFuture<LookUp> lookUp(RequestKey key);
}
