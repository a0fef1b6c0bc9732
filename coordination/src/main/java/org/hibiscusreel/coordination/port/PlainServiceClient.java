package org.hibiscusreel.coordination.port;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.config.Upstream;

/** Calls to plain services. Futures complete on the event loop and never exceptionally. */
public interface PlainServiceClient {

  /**
   * A call of a method.
   *
   * @param method name of the method
   * @param idempotencyKey the caller's request identifier
   * @param contentType content type of the body, or empty
   * @param body the body
   * @param timeoutMillis time to wait for the response, in milliseconds
   */
  record Call(
      String method, String idempotencyKey, String contentType, byte[] body, long timeoutMillis) {}

  /** Outcome of a call. */
  sealed interface Result {

    /**
     * The service responded.
     *
     * @param status HTTP status
     * @param contentType content type of the body, or empty
     * @param body the body
     */
    record Responded(int status, String contentType, byte[] body) implements Result {}

    /**
     * The call was certainly not sent.
     *
     * @param reason description of the failure
     */
    record NotSent(String reason) implements Result {}

    /**
     * The call may have been executed.
     *
     * @param reason description of the failure
     */
    record Unknown(String reason) implements Result {}
  }

  /**
   * Calls a method.
   *
   * @param upstream instance of the plain service
   * @param call the call
   * @return the outcome
   */
  CompletableFuture<Result> call(Upstream upstream, Call call);
}
