package org.hibiscusreel.daemon.forward;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.hibiscusreel.coordination.forward.HeaderField;

/** Converts header fields between ActiveJ messages and {@link HeaderField}. */
final class HeaderFields {

  private static final String CONNECTION = "connection";

  /** Hop-by-hop fields and fields that the HTTP library writes itself, in lower case. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          CONNECTION,
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          // The body is complete when it is forwarded, so no upstream is asked whether it wants it.
          "expect",
          "content-length",
          "host");

  /**
   * Largest number of cached names. Messages use few names; the bound keeps callers that send many
   * different ones from filling the memory.
   */
  private static final int MAX_CACHED_NAMES = 256;

  private static final Map<String, HttpHeader> HEADERS_BY_NAME = new ConcurrentHashMap<>();

  private HeaderFields() {}

  /** Returns the end-to-end fields of a message. */
  static List<HeaderField> endToEnd(HttpMessage message) {
    List<HeaderField> all = new ArrayList<>();
    Set<String> connectionOptions = new HashSet<>();
    for (var e : message.getHeaders()) {
      HeaderField field = new HeaderField(e.getKey().toString(), e.getValue().toString());
      all.add(field);
      if (field.name().equalsIgnoreCase(CONNECTION)) {
        for (String name : field.value().split(",", -1)) {
          connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    all.removeIf(
        f -> {
          String name = f.name().toLowerCase(Locale.ROOT);
          return HOP_BY_HOP.contains(name) || connectionOptions.contains(name);
        });
    return all;
  }

  /** Returns the ActiveJ header with a name, from the cache if possible. */
  static HttpHeader toHttpHeader(String name) {
    HttpHeader known = HEADERS_BY_NAME.get(name);
    if (known != null) {
      return known;
    }
    HttpHeader header = HttpHeaders.of(name);
    if (HEADERS_BY_NAME.size() < MAX_CACHED_NAMES) {
      HEADERS_BY_NAME.put(name, header);
    }
    return header;
  }
}
