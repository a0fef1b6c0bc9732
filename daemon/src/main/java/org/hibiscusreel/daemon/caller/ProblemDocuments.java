package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.daemon.http.RequestFraming;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Writes problems as problem documents (RFC 7807). */
final class ProblemDocuments {

  /** Response header with the request identifier. */
  static final HttpHeader REQUEST_ID = HttpHeaders.register("X-Request-Id");

  private static final String TYPE = "https://hibiscusreel.org/problems/";

  private ProblemDocuments() {}

  /** Returns the document of a problem; {@code requestId} is empty if the request has none. */
  static ObjectNode toJson(Problem problem, String requestId) {
    ObjectNode document =
        JsonBodies.MAPPER
            .createObjectNode()
            .put("type", TYPE + problem.code().toField())
            .put("title", problem.code().title())
            .put("status", problem.code().status())
            .put("detail", problem.detail())
            .put("code", problem.code().toField())
            .put("ran", problem.ran().toField())
            .put("request_id", requestId);
    problem.retryAfterMillis().ifPresent(ms -> document.put("retry_after_ms", ms));
    return document;
  }

  /** Returns the response of a problem. */
  static HttpResponse toResponse(Problem problem, String requestId) {
    HttpResponse.Builder response =
        HttpResponse.ofCode(problem.code().status())
            .withHeader(HttpHeaders.CONTENT_TYPE, "application/problem+json")
            .withBody(JsonBodies.write(toJson(problem, requestId)));
    if (!requestId.isEmpty()) {
      response.withHeader(REQUEST_ID, requestId);
    }
    problem
        .retryAfterMillis()
        .ifPresent(
            ms -> response.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(toSeconds(ms))));
    return response.build();
  }

  /** Returns the bytes of a response that refuses a request whose framing is improper. */
  static byte[] refuse(RequestFraming.Fault fault) {
    Problem problem = Problem.notRun(ProblemCode.MALFORMED_REQUEST, fault.reason());
    ObjectNode document = toJson(problem, "").put("status", fault.status());
    String body = new String(JsonBodies.write(document), StandardCharsets.UTF_8);
    return RequestFraming.toResponse(fault, "application/problem+json", body);
  }

  private static long toSeconds(long millis) {
    return Math.max(1, TimeUnit.MILLISECONDS.toSeconds(millis + 999));
  }
}
