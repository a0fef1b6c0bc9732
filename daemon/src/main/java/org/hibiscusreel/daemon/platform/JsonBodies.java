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

  /**
   * Returns a required text.
   *
   * @param node an object
   * @param field name of the field
   * @return the text
   * @throws IOException if the field is absent or no text
   */
  public static String requireText(JsonNode node, String field) throws IOException {
    JsonNode value = require(node, field);
    if (!value.isTextual()) {
      throw new IOException("the field " + field + " is no text");
    }
    return value.textValue();
  }

  /**
   * Returns a number without its fraction.
   *
   * @param node an object
   * @param field name of the field
   * @param absent result if the field is absent or null
   * @param max largest value
   * @return the number, or {@code absent}
   * @throws IOException if the field is no number from 0 to {@code max}
   */
  public static long number(JsonNode node, String field, long absent, long max) throws IOException {
    if (!node.hasNonNull(field)) {
      return absent;
    }
    JsonNode value = node.get(field);
    // The conversion to long wraps or saturates outside of its range.
    boolean fits = value.isNumber() && value.canConvertToLong() && value.doubleValue() >= 0;
    if (!fits || value.longValue() > max) {
      throw new IOException("the field " + field + " is no number from 0 to " + max);
    }
    return value.longValue();
  }

  /**
   * Returns a whole number.
   *
   * @param node an object
   * @param field name of the field
   * @param absent result if the field is absent or null
   * @param max largest value
   * @return the number, or {@code absent}
   * @throws IOException if the field is no whole number from 0 to {@code max}
   */
  public static long wholeNumber(JsonNode node, String field, long absent, long max)
      throws IOException {
    long result = number(node, field, absent, max);
    if (node.hasNonNull(field) && !node.get(field).canConvertToExactIntegral()) {
      throw new IOException("the field " + field + " is no whole number");
    }
    return result;
  }

  /**
   * Returns the whole number that a node holds.
   *
   * @param value a node, not null
   * @param max largest value
   * @return the number
   * @throws IOException if the node is no whole number from 0 to {@code max}
   */
  public static long wholeNumber(JsonNode value, long max) throws IOException {
    boolean isWhole = value.isIntegralNumber() && value.canConvertToLong();
    if (!isWhole || value.longValue() < 0 || value.longValue() > max) {
      throw new IOException("an element is no whole number from 0 to " + max);
    }
    return value.longValue();
  }

  /**
   * Returns the text that a node holds.
   *
   * @param value a node, not null
   * @return the text
   * @throws IOException if the node is no text
   */
  public static String text(JsonNode value) throws IOException {
    if (!value.isTextual()) {
      throw new IOException("an element is no text");
    }
    return value.textValue();
  }
}
