package org.hibiscusreel.ctl.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** HTTP client for the host list of the platform. */
public final class HttpHostList implements HostList {

  private static final int OK = 200;

  private final HttpSender sender;
  private final URI uri;

  /**
   * Creates a client.
   *
   * @param sender sends the requests
   * @param baseUrl base URL of the host list without a trailing slash
   * @throws NullPointerException if an argument is null
   */
  public HttpHostList(HttpSender sender, String baseUrl) {
    this.sender = Objects.requireNonNull(sender, "sender");
    this.uri = URI.create(Objects.requireNonNull(baseUrl, "baseUrl") + "/v1/hosts");
  }

  @Override
  public CompletableFuture<Optional<Listing>> fetch() {
    return sender.sendIdempotent("GET", uri, new byte[0]).thenApply(HttpHostList::toListing);
  }

  private static Optional<Listing> toListing(HttpReply reply) {
    if (!(reply instanceof HttpReply.Response response) || response.status() != OK) {
      return Optional.empty();
    }
    try {
      JsonNode root = JsonBodies.readObject(response.body());
      List<Host> hosts = new ArrayList<>();
      for (JsonNode node : JsonBodies.require(root, "hosts")) {
        hosts.add(
            new Host(
                node.path("host").asText(),
                node.path("failure_domain").asText(),
                node.path("peer_address").asText(),
                state(node)));
      }
      List<ListedUpstream> upstreams = new ArrayList<>();
      for (JsonNode node : JsonBodies.require(root, "upstreams")) {
        upstreams.add(new ListedUpstream(node.path("name").asText(), state(node)));
      }
      return Optional.of(new Listing(hosts, upstreams));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static State state(JsonNode node) {
    return State.valueOf(node.path("state").asText().toUpperCase(Locale.ROOT));
  }
}
