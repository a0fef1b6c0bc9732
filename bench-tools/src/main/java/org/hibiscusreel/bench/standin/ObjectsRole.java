package org.hibiscusreel.bench.standin;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Simulates the object store. */
final class ObjectsRole implements Role {

  private static final String BASE_PATH = "/v1/objects";

  private final TreeMap<String, byte[]> objects = new TreeMap<>();

  @Override
  public boolean serves(String path) {
    return path.startsWith(BASE_PATH);
  }

  @Override
  public boolean isWrite(HttpRequest request) {
    return request.getMethod() != HttpMethod.GET;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body) {
    String key = path.substring(Math.min(path.length(), BASE_PATH.length() + 1));
    return (key.isEmpty() ? list(request) : serveObject(request, key, body)).toPromise();
  }

  @Override
  public Object observed() {
    return Map.of("objects", objects.size());
  }

  private HttpResponse list(HttpRequest request) {
    String parameter = request.getQueryParameter("prefix");
    String prefix = parameter == null ? "" : parameter;
    List<String> keys =
        objects.tailMap(prefix, true).keySet().stream()
            .takeWhile(candidate -> candidate.startsWith(prefix))
            .toList();
    return JsonHttp.json(200, Map.of("keys", keys));
  }

  private HttpResponse serveObject(HttpRequest request, String key, byte[] body) {
    HttpMethod method = request.getMethod();
    if (method == HttpMethod.PUT) {
      if (request.getHeader(HttpHeaders.IF_NONE_MATCH) != null && objects.containsKey(key)) {
        return JsonHttp.error(412, "the object exists");
      }
      objects.put(key, body);
      return JsonHttp.json(200, Map.of("bytes", body.length));
    }
    if (method == HttpMethod.DELETE) {
      objects.remove(key);
      return JsonHttp.json(200, Map.of());
    }
    byte[] object = objects.get(key);
    return object == null
        ? JsonHttp.error(404, "no such object")
        : HttpResponse.ok200().withBody(object).build();
  }
}
