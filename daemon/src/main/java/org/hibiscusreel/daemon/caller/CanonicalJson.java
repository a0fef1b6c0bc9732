package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Parses JSON of callers strictly and writes it in a canonical form with sorted keys, so that
 * documents with equal content have equal bytes and digests.
 */
final class CanonicalJson {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .build();

  private CanonicalJson() {}

  /** Parses JSON text; returns a missing node for empty text. */
  static JsonNode read(byte[] body) throws IOException {
    return MAPPER.readTree(body);
  }

  /** Returns the canonical JSON text, with sorted keys and without white space, in UTF-8. */
  static byte[] write(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(MAPPER.treeToValue(node, Object.class));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  static String sha256(byte[] bytes) {
    return HexFormat.of().formatHex(newSha256().digest(bytes));
  }

  static String sha256(String text) {
    return sha256(text.getBytes(StandardCharsets.UTF_8));
  }
}
