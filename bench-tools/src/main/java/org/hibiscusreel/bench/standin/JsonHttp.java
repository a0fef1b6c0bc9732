package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Helper methods for JSON over HTTP. */
final class JsonHttp {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonHttp() {}

  /** Returns a response with a value as its JSON body. */
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

  /** Returns an error response with a description. */
  static HttpResponse error(int status, String detail) {
    return json(status, java.util.Map.of("error", detail));
  }

  /**
   * Parses a JSON body.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static JsonNode parse(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed JSON", e);
    }
  }

  /** Returns the decoded path; a plus sign is not decoded to a space. */
  static String decodedPath(HttpRequest request) {
    return URLDecoder.decode(request.getPath().replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  /** Returns a query parameter as a number, or 0 if absent. */
  static long longParameter(HttpRequest request, String name) {
    String value = request.getQueryParameter(name);
    return value == null || value.isEmpty() ? 0 : Long.parseLong(value);
  }
}
