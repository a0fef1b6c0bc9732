package org.hibiscusreel.coordination.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON codec for the records stored in the platform. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private static final ObjectMapper EXACT_MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private Json() {}

  /**
   * Returns the JSON text of a value.
   *
   * @param value a record, not null
   * @return JSON text
   * @throws UncheckedIOException if the value can't be written
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a value from JSON text. Unknown fields are ignored, so that older daemons can read rows
   * of newer ones.
   *
   * @param text JSON text
   * @param type record type
   * @param <T> record type
   * @return the value
   * @throws UncheckedIOException if the text is malformed
   */
  public static <T> T read(String text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a value from JSON text that another writer may have spoilt: each field must be there and
   * have its type. Unknown fields are ignored.
   *
   * @param text JSON text
   * @param type record type
   * @param <T> record type
   * @return the value, not null
   * @throws IOException if the text is malformed or a field is missing or of another type
   */
  public static <T> T readExact(String text, Class<T> type) throws IOException {
    T value = EXACT_MAPPER.readValue(text, type);
    if (value == null) {
      throw new IOException("the text holds no object");
    }
    return value;
  }
}
