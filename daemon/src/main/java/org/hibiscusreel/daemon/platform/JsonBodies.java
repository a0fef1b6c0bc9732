package org.hibiscusreel.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes the JSON bodies of HTTP calls. */
public final class JsonBodies {

  /** Mapper with the default settings of Jackson. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonBodies() {}

  /**
   * Serializes a node to UTF-8 bytes.
   *
   * @param node a node, not null
   * @return JSON text
   */
  public static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a JSON object.
   *
   * @param body JSON text
   * @return the object
   * @throws IOException if the text is malformed or not an object
   */
  public static JsonNode readObject(byte[] body) throws IOException {
    JsonNode node = MAPPER.readTree(body);
    if (node == null || !node.isObject()) {
      throw new IOException("the body is no JSON object");
    }
    return node;
  }

  /**
   * Returns a required field.
   *
   * @param node an object
   * @param field name of the field
   * @return the value, not null
   * @throws IOException if the field is absent or null
   */
  public static JsonNode require(JsonNode node, String field) throws IOException {
    if (!node.hasNonNull(field)) {
      throw new IOException("the field " + field + " is missing");
    }
    return node.get(field);
  }
}
