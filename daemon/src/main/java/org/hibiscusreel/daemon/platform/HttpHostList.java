package org.hibiscusreel.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;

/** Client for the platform's host list over HTTP. */
public final class HttpHostList implements HostList {

  private final AsyncHttpClient calls;
  private final String url;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param calls HTTP client
   * @param baseUrl base URL without a trailing slash
   * @param timeoutMillis time to wait for a response, in milliseconds
   * @throws NullPointerException if an argument is null
   */
  public HttpHostList(AsyncHttpClient calls, String baseUrl, long timeoutMillis) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.url = Objects.requireNonNull(baseUrl, "baseUrl") + "/v1/hosts";
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Optional<Listing>> fetch() {
    return calls
        .call(HttpMethod.GET, url, Map.of(), null, timeoutMillis)
        .thenApply(HttpHostList::toListing);
  }

  private static Optional<Listing> toListing(HttpResult result) {
    if (!(result instanceof HttpResult.Responded r) || !r.isSuccess()) {
      return Optional.empty();
    }
    try {
      JsonNode body = JsonBodies.readObject(r.body());
      List<Host> hosts = new ArrayList<>();
      for (JsonNode n : JsonBodies.require(body, "hosts")) {
        hosts.add(
            new Host(
                JsonBodies.require(n, "host").asText(),
                JsonBodies.require(n, "failure_domain").asText(),
                JsonBodies.require(n, "peer_address").asText(),
                toState(n)));
      }
      List<ListedUpstream> upstreams = new ArrayList<>();
      for (JsonNode n : JsonBodies.require(body, "upstreams")) {
        upstreams.add(new ListedUpstream(JsonBodies.require(n, "name").asText(), toState(n)));
      }
      return Optional.of(new Listing(hosts, upstreams));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static State toState(JsonNode node) throws IOException {
    String text = JsonBodies.require(node, "state").asText();
    try {
      return State.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new IOException("unknown state " + text, e);
    }
  }
}
