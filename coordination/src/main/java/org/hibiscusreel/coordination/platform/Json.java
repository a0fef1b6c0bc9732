package org.hibiscusreel.coordination.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;

/** JSON codec for the records stored in the platform. */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

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
}
