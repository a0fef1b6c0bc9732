package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Helpers for JSON over HTTP. */
final class Http {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private Http() {}

  /** Returns a response with the value as its JSON body. */
  static HttpResponse json(int status, Object value) {
    try {
      return HttpResponse.ofCode(status)
          .withHeader(io.activej.http.HttpHeaders.CONTENT_TYPE, "application/json")
          .withBody(MAPPER.writeValueAsBytes(value))
          .build();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a response that explains a failure. */
  static HttpResponse error(int status, String detail) {
    return json(status, java.util.Map.of("error", detail));
  }

  /** Reads a JSON body; malformed text is an {@link IllegalArgumentException}. */
  static JsonNode read(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed JSON", e);
    }
  }

  /** Returns the decoded path; a plus sign stands for itself. */
  static String path(HttpRequest request) {
    return URLDecoder.decode(request.getPath().replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  /** Returns a query parameter as a number, or 0 if absent. */
  static long number(HttpRequest request, String name) {
    String v = request.getQueryParameter(name);
    return v == null || v.isEmpty() ? 0 : Long.parseLong(v);
  }
}
