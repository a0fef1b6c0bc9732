package org.hibiscusreel.coordination.config;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.hibiscusreel.coordination.platform.Json;

/**
 * Published object of a configuration: the base and one overlay per site, as TOML.
 *
 * @param base TOML of the base
 * @param overlays TOML of the overlays by site
 */
public record ConfigurationBody(String base, Map<String, String> overlays) {

  /**
   * Checks the parts and sorts the overlays, so that equal bodies have equal digests.
   *
   * @throws NullPointerException if a part is null
   */
  public ConfigurationBody {
    Objects.requireNonNull(base, "base");
    overlays.values().forEach(text -> Objects.requireNonNull(text, "overlay"));
    overlays = Collections.unmodifiableMap(new TreeMap<>(overlays));
  }

  /**
   * Returns the content of the object.
   *
   * @return JSON as UTF-8
   */
  public byte[] toBytes() {
    return Json.write(this).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads the content of an object.
   *
   * @param bytes JSON as UTF-8
   * @return the body, or empty if the bytes are malformed
   */
  public static Optional<ConfigurationBody> fromBytes(byte[] bytes) {
    try {
      return Optional.ofNullable(
          Json.read(new String(bytes, StandardCharsets.UTF_8), ConfigurationBody.class));
    } catch (UncheckedIOException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the digest that identifies an object.
   *
   * @param bytes content of the object
   * @return SHA-256 in lower-case hexadecimal
   */
  public static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /**
   * Returns the key of an object.
   *
   * @param digest digest of its content
   * @return the key in the object store
   */
  public static String objectKey(String digest) {
    return "config/" + digest;
  }
}
