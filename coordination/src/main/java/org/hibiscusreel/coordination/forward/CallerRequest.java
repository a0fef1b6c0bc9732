package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Optional;
import org.hibiscusreel.core.forward.PromptShape;

/**
 * A caller's request with its complete body.
 *
 * @param id identifier of this request, chosen by the caller; each retry has a new one
 * @param method HTTP method
 * @param host host that the request is addressed to
 * @param target path and query, unchanged
 * @param path path without the query
 * @param key API key of the caller, or empty
 * @param deadlineMillis time that the caller waits, in milliseconds from the arrival of the
 *     request, or empty
 * @param prompt shape of the prompt, or empty for a plain request
 * @param fields header fields that are forwarded to upstreams unchanged
 * @param body body, empty if there is none
 * @param resumption stream that the request takes up, or empty
 * @param malformed why the request must be refused as malformed, or empty
 */
public record CallerRequest(
    String id,
    String method,
    String host,
    String target,
    String path,
    Optional<String> key,
    Optional<Long> deadlineMillis,
    Optional<PromptShape> prompt,
    List<HeaderField> fields,
    byte[] body,
    Optional<Resumption> resumption,
    Optional<String> malformed) {

  /**
   * Stream that a caller takes up after its connection broke.
   *
   * @param firstRequest identifier of the request that brought the first event of the stream, or
   *     empty if the caller names none or several
   */
  public record Resumption(Optional<String> firstRequest) {}

  /** Longest time to wait that is told apart in milliseconds, a day. */
  public static final long MAX_DEADLINE_MILLIS = 86_400_000;

  /** Limits the time that the caller waits to 0 to {@link #MAX_DEADLINE_MILLIS}. */
  public CallerRequest {
    deadlineMillis = deadlineMillis.map(d -> Math.max(0, Math.min(MAX_DEADLINE_MILLIS, d)));
  }

  /**
   * Creates a request that takes up no stream and is not malformed.
   *
   * @param id identifier of this request
   * @param method HTTP method
   * @param host host that the request is addressed to
   * @param target path and query
   * @param path path without the query
   * @param key API key of the caller, or empty
   * @param deadlineMillis time that the caller waits in milliseconds, or empty
   * @param prompt shape of the prompt, or empty for a plain request
   * @param fields header fields that are forwarded to upstreams
   * @param body body, empty if there is none
   */
  public CallerRequest(
      String id,
      String method,
      String host,
      String target,
      String path,
      Optional<String> key,
      Optional<Long> deadlineMillis,
      Optional<PromptShape> prompt,
      List<HeaderField> fields,
      byte[] body) {
    this(
        id,
        method,
        host,
        target,
        path,
        key,
        deadlineMillis,
        prompt,
        fields,
        body,
        Optional.empty(),
        Optional.empty());
  }
}
