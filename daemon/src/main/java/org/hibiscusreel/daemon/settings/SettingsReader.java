package org.hibiscusreel.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and validates the settings of a daemon. */
public final class SettingsReader {

  private static final TomlMapper MAPPER = createMapper(new JacksonAnnotationIntrospector());

  /**
   * Mapper that treats all values as optional. A misspelt key is reported both as unknown and as
   * missing under its correct name. The unknown key is the more useful error, but Jackson finds the
   * missing one first.
   */
  private static final TomlMapper MAPPER_WITHOUT_REQUIRED =
      createMapper(new OptionalIntrospector());

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file; relative paths in it are resolved against its directory
   * @return the settings
   * @throws SettingsException if the file can't be read, or has an unknown key, a wrong type, a
   *     missing value or a value out of range
   */
  public static DaemonSettings read(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (CharacterCodingException e) {
      throw new SettingsException(file.toString(), 0, "", "the file is not UTF-8 text");
    } catch (IOException e) {
      throw new SettingsException(file.toString(), 0, "", "the file cannot be read: " + e);
    }
    DaemonSettings s = parse(file.toString(), text);
    return resolve(s, file.toAbsolutePath().getParent());
  }

  /**
   * Parses settings. Relative paths of certificates are not resolved.
   *
   * @param file name of the file in error messages
   * @param text TOML text
   * @return the settings
   * @throws SettingsException if the text has an unknown key, a wrong type, a missing value or a
   *     value out of range
   */
  public static DaemonSettings parse(String file, String text) throws SettingsException {
    KeyLocator locator = new KeyLocator(text);
    DaemonSettings s;
    try {
      s = MAPPER.readValue(text, DaemonSettings.class);
    } catch (JsonMappingException e) {
      throw translate(file, locator, unknownKey(text).orElse(e));
    } catch (JsonProcessingException e) {
      JsonLocation at = e.getLocation();
      throw new SettingsException(file, at == null ? 0 : at.getLineNr(), "", reasonOf(e));
    }
    if (s == null) {
      throw new SettingsException(file, 0, "host", "the value is missing");
    }
    new Checks(file, locator).check(s);
    return s;
  }

  private static Optional<JsonMappingException> unknownKey(String text) {
    try {
      MAPPER_WITHOUT_REQUIRED.readValue(text, DaemonSettings.class);
    } catch (UnrecognizedPropertyException e) {
      return Optional.of(e);
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
    return Optional.empty();
  }

  private static SettingsException translate(
      String file, KeyLocator locator, JsonMappingException e) {
    List<String> path = new ArrayList<>();
    for (JsonMappingException.Reference r : e.getPath()) {
      if (r.getFieldName() != null) {
        path.add(r.getFieldName());
      }
    }
    int line = locator.lineOf(path);
    if (line == 0 && e.getLocation() != null) {
      line = Math.max(0, e.getLocation().getLineNr());
    }
    return new SettingsException(file, line, String.join(".", path), reasonOf(e));
  }

  private static String reasonOf(JsonProcessingException e) {
    if (e instanceof UnrecognizedPropertyException) {
      return "the key is unknown";
    }
    String message = e.getOriginalMessage();
    if (message != null && message.startsWith("Missing required creator property")) {
      return "the value is missing";
    }
    if (e instanceof InvalidFormatException || e instanceof MismatchedInputException) {
      return "the value has a wrong type or form: " + message;
    }
    return message;
  }

  private static DaemonSettings resolve(DaemonSettings s, Path directory) {
    if (s.tls() == null) {
      return s;
    }
    DaemonSettings.CallerTls callers = s.tls().callers();
    if (callers != null) {
      callers =
          new DaemonSettings.CallerTls(
              directory.resolve(callers.certificate()), directory.resolve(callers.key()));
    }
    DaemonSettings.PeerTls peers = s.tls().peers();
    if (peers != null) {
      peers =
          new DaemonSettings.PeerTls(
              directory.resolve(peers.certificate()),
              directory.resolve(peers.key()),
              directory.resolve(peers.ca()));
    }
    DaemonSettings.Tls tls = new DaemonSettings.Tls(callers, peers);
    return new DaemonSettings(
        s.host(), s.listen(), s.platform(), s.peers(), s.limits(), s.log(), tls);
  }

  private static TomlMapper createMapper(JacksonAnnotationIntrospector introspector) {
    SimpleModule module = new SimpleModule();
    module.addDeserializer(InetSocketAddress.class, new AddressDeserializer());
    module.addDeserializer(Path.class, new PathDeserializer());
    TomlMapper m =
        TomlMapper.builder()
            .annotationIntrospector(introspector)
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .addModule(module)
            .build();
    m.coercionConfigFor(LogicalType.Textual)
        .setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
        .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
        .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail);
    return m;
  }

  private static final class OptionalIntrospector extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1L;

    @Override
    public Boolean hasRequiredMarker(AnnotatedMember m) {
      return Boolean.FALSE;
    }
  }

  private static final class AddressDeserializer extends StdDeserializer<InetSocketAddress> {

    private static final long serialVersionUID = 1L;

    AddressDeserializer() {
      super(InetSocketAddress.class);
    }

    @Override
    public InetSocketAddress deserialize(JsonParser p, DeserializationContext c)
        throws IOException {
      try {
        return AddressParser.parse(p.getText());
      } catch (IllegalArgumentException e) {
        throw InvalidFormatException.from(p, e.getMessage(), p.getText(), InetSocketAddress.class);
      }
    }
  }

  private static final class PathDeserializer extends StdDeserializer<Path> {

    private static final long serialVersionUID = 1L;

    PathDeserializer() {
      super(Path.class);
    }

    @Override
    public Path deserialize(JsonParser p, DeserializationContext c) throws IOException {
      if (!p.currentToken().isScalarValue() || p.currentToken().isNumeric()) {
        throw InvalidFormatException.from(p, "expected a path", p.getText(), Path.class);
      }
      return Path.of(p.getText());
    }
  }

  /** Validates values that have the correct type. */
  private record Checks(String file, KeyLocator locator) {

    void check(DaemonSettings s) throws SettingsException {
      requireText("host.name", s.host().name());
      requireText("host.failure_domain", s.host().failureDomain());
      requireText("host.site", s.host().site());
      requireUrl("platform.table", s.platform().table());
      requireUrl("platform.objects", s.platform().objects());
      requireUrl("platform.hosts", s.platform().hosts());
      requirePositive("limits.max_body_bytes", s.limits().maxBodyBytes());
      requirePositive("limits.max_buffered_bills", s.limits().maxBufferedBills());
      requirePositive("limits.max_connections", s.limits().maxConnections());
      requirePositive("limits.drain_timeout_ms", s.limits().drainTimeoutMs());
      requirePositive("limits.max_head_bytes", s.limits().maxHeadBytes());
      requirePositive("limits.head_memory_bytes", s.limits().headMemoryBytes());
      requirePositive("limits.body_memory_bytes", s.limits().bodyMemoryBytes());
      requirePositive("limits.max_admin_connections", s.limits().maxAdminConnections());
      requirePositive("limits.max_admin_head_bytes", s.limits().maxAdminHeadBytes());
    }

    private void requireText(String key, String value) throws SettingsException {
      if (value.isBlank()) {
        throw fault(key, "the value must not be empty");
      }
    }

    private void requirePositive(String key, long value) throws SettingsException {
      if (value <= 0) {
        throw fault(key, "the value must be positive");
      }
    }

    private void requireUrl(String key, String value) throws SettingsException {
      try {
        URI u = URI.create(value);
        if (!"http".equals(u.getScheme()) || u.getPort() < 1 || value.endsWith("/")) {
          throw fault(key, "expected a base URL like http://IP:PORT without a trailing slash");
        }
        AddressParser.parse(u.getAuthority());
      } catch (IllegalArgumentException e) {
        throw fault(key, e.getMessage());
      }
    }

    private SettingsException fault(String key, String reason) {
      return new SettingsException(
          file, locator.lineOf(List.of(key.split("\\.", -1))), key, reason);
    }
  }
}
