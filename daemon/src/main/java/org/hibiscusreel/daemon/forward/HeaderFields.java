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

/** Header fields of ActiveJ messages as plain records. */
final class HeaderFields {

  private static final String CONNECTION = "connection";

  /** Fields that concern one connection or that the HTTP library writes itself. */
  private static final Set<String> ONE_CONNECTION =
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
          "content-length",
          "host");

  /** Names are few; a caller that invents many must not fill the memory. */
  private static final int MAX_NAMES = 256;

  private static final Map<String, HttpHeader> NAMES = new ConcurrentHashMap<>();

  private HeaderFields() {}

  /** Returns the fields of a message that concern more than one connection. */
  static List<HeaderField> endToEnd(HttpMessage message) {
    List<HeaderField> all = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (var e : message.getHeaders()) {
      HeaderField f = new HeaderField(e.getKey().toString(), e.getValue().toString());
      all.add(f);
      if (f.name().equalsIgnoreCase(CONNECTION)) {
        for (String name : f.value().split(",", -1)) {
          named.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    all.removeIf(
        f -> {
          String name = f.name().toLowerCase(Locale.ROOT);
          return ONE_CONNECTION.contains(name) || named.contains(name);
        });
    return all;
  }

  /** Returns the library's name of a field. */
  static HttpHeader name(String name) {
    HttpHeader known = NAMES.get(name);
    if (known != null) {
      return known;
    }
    HttpHeader header = HttpHeaders.of(name);
    if (NAMES.size() < MAX_NAMES) {
      NAMES.put(name, header);
    }
    return header;
  }
}
