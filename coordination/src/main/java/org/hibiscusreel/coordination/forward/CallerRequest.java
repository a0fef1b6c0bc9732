package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.Optional;
import org.hibiscusreel.core.forward.PromptShape;

/**
 * A request of a caller, read whole.
 *
 * @param id identity of this request, chosen by the caller; each repetition has its own
 * @param method HTTP method
 * @param host host that the caller addressed
 * @param target path and query, unchanged
 * @param path path without the query
 * @param key key of the caller, or empty
 * @param deadlineMillis time that the caller waits from the arrival of the request, or empty
 * @param prompt shape of the prompt, or empty for a plain request
 * @param fields header fields that upstreams receive unchanged
 * @param body body, not null
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
    byte[] body) {}
