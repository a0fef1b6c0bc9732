package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.util.List;
import java.util.Map;

/** Simulates the host list. {@code PUT /v1/hosts} replaces the list after a delay. */
final class HostsRole implements Role {

  private final Reactor reactor;
  private final int lagMillis;
  private JsonNode listing =
      JsonHttp.MAPPER.valueToTree(Map.of("hosts", List.of(), "upstreams", List.of()));

  HostsRole(Reactor reactor, int lagMillis) {
    this.reactor = reactor;
    this.lagMillis = lagMillis;
  }

  @Override
  public boolean serves(String path) {
    return path.equals("/v1/hosts");
  }

  @Override
  public boolean isWrite(HttpRequest request) {
    return request.getMethod() == HttpMethod.PUT;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body) {
    if (isWrite(request)) {
      JsonNode next = JsonHttp.parse(body);
      reactor.delay(lagMillis, () -> listing = next);
      return JsonHttp.json(200, Map.of()).toPromise();
    }
    return JsonHttp.json(200, listing).toPromise();
  }

  @Override
  public Object observed() {
    return Map.of("host_list", listing);
  }
}
