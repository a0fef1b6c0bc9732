package org.hibiscusreel.daemon.forward;

import io.activej.http.HttpHeader;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.coordination.forward.UpstreamTransport.UpstreamRequest;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;

/**
 * A request to one upstream, over a connection of this host or, while that reaches no upstream,
 * through another daemon. As long as nothing was sent, a further daemon is asked.
 */
final class UpstreamCall implements UpstreamTransport.Exchange {

  /** Receives the first response. */
  interface Listener {

    /** Called when a connection to the upstream itself is open. */
    default void onConnected() {}

    /**
     * Called with the response of the upstream.
     *
     * @param response the response
     * @param body reads its body
     */
    void onResponse(HttpResponse response, ResponseBodyReader body);
  }

  /** Largest number of daemons that are asked to relay a request. */
  static final int MAX_RELAYS = 2;

  private final AsyncHttpClient calls;
  private final UpstreamPaths paths;
  private final UpstreamEntry upstream;
  private final UpstreamRequest request;
  private final List<HeaderField> fields;
  private final Listener listener;
  private final ResponseBodyReader.Sink sink;
  private final Set<String> triedRelays = new HashSet<>();
  private String lastRelay;
  private ResponseBodyReader body;

  UpstreamCall(
      AsyncHttpClient calls,
      UpstreamPaths paths,
      UpstreamEntry upstream,
      UpstreamRequest request,
      List<HeaderField> fields,
      Listener listener,
      ResponseBodyReader.Sink sink) {
    this.calls = calls;
    this.paths = paths;
    this.upstream = upstream;
    this.request = request;
    this.fields = fields;
    this.listener = listener;
    this.sink = sink;
  }

  void start() {
    paths.relay(triedRelays).ifPresentOrElse(this::sendThrough, this::sendDirectly);
  }

  private void sendDirectly() {
    AsyncHttpClient.Exchange exchange = open(upstream.address(), List.of());
    exchange.onConnected(
        () -> {
          paths.onConnected();
          listener.onConnected();
        });
    ResponseBodyReader reader = read(exchange);
    exchange
        .response()
        .async()
        .whenResult(r -> listener.onResponse(r, reader))
        .whenException(e -> onDirectFailure(exchange, reader, String.valueOf(e)));
  }

  private void onDirectFailure(
      AsyncHttpClient.Exchange exchange, ResponseBodyReader reader, String reason) {
    if (isSent(exchange)) {
      reader.fail(AttemptOutcome.BROKEN, reason);
      return;
    }
    paths.onConnectFailed(upstream.id());
    boolean isIsolated = paths.isIsolated();
    sendFurther(reader, isIsolated ? AttemptOutcome.NO_PATH : AttemptOutcome.NOT_SENT, reason);
  }

  private void sendThrough(String relay) {
    triedRelays.add(relay);
    lastRelay = relay;
    RelayTicket ticket = RelayTicket.of(upstream, ThreadLocalRandom.current().nextLong());
    AsyncHttpClient.Exchange exchange =
        open(relay, List.of(new HeaderField(RelayTicket.REQUEST_FIELD, ticket.toText())));
    ResponseBodyReader reader = read(exchange);
    exchange
        .response()
        .async()
        .whenResult(r -> onRelayedResponse(relay, ticket, r, reader))
        .whenException(e -> onRelayFailure(relay, exchange, reader, String.valueOf(e)));
  }

  private void onRelayedResponse(
      String relay, RelayTicket ticket, HttpResponse response, ResponseBodyReader reader) {
    Optional<RelayRefusal> refusal =
        ticket.refusal(response.getHeader(HeaderFields.toHttpHeader(RelayTicket.REFUSAL_FIELD)));
    if (refusal.isEmpty()) {
      paths.onRelayed(relay);
      listener.onResponse(response, reader);
      return;
    }
    response.takeBodyStream().close();
    String reason = refusal.get().toText();
    if (refusal.get().isAboutRelay()) {
      paths.onRelayUnusable(relay, reason);
    }
    sendFurther(
        reader,
        refusal.get() == RelayRefusal.UNREACHABLE
            ? AttemptOutcome.NOT_SENT
            : AttemptOutcome.NO_PATH,
        reason);
  }

  private void onRelayFailure(
      String relay, AsyncHttpClient.Exchange exchange, ResponseBodyReader reader, String reason) {
    if (isSent(exchange)) {
      reader.fail(AttemptOutcome.BROKEN, reason);
      return;
    }
    paths.onRelayUnusable(relay, reason);
    sendFurther(reader, AttemptOutcome.NO_PATH, reason);
  }

  /** Asks another daemon, since nothing was sent so far, or ends the attempt. */
  private void sendFurther(ResponseBodyReader reader, AttemptOutcome outcome, String reason) {
    if (reader.isEnded()) {
      return;
    }
    Optional<String> relay =
        triedRelays.size() < MAX_RELAYS ? paths.relay(triedRelays) : Optional.empty();
    if (relay.isPresent()) {
      reader.cancel();
      sendThrough(relay.get());
    } else {
      reader.fail(outcome, reason);
    }
  }

  private AsyncHttpClient.Exchange open(String address, List<HeaderField> first) {
    List<Map.Entry<HttpHeader, String>> headers = new ArrayList<>();
    for (List<HeaderField> part : List.of(first, fields)) {
      for (HeaderField f : part) {
        headers.add(Map.entry(HeaderFields.toHttpHeader(f.name()), f.value()));
      }
    }
    byte[] content = request.caller().body();
    AsyncHttpClient.Exchange exchange =
        calls.open(
            HttpMethod.valueOf(request.caller().method()),
            "http://" + address + request.caller().target(),
            headers,
            content.length == 0 ? null : content);
    exchange.limitFraming();
    return exchange;
  }

  private ResponseBodyReader read(AsyncHttpClient.Exchange exchange) {
    ResponseBodyReader reader = new ResponseBodyReader(exchange, sink);
    body = reader;
    return reader;
  }

  private static boolean isSent(AsyncHttpClient.Exchange exchange) {
    return !(exchange.toFailure("") instanceof HttpResult.NotSent);
  }

  @Override
  public Optional<String> relay() {
    return Optional.ofNullable(lastRelay);
  }

  @Override
  public void pause() {
    body.pause();
  }

  @Override
  public void resumeReading() {
    body.resumeReading();
  }

  @Override
  public void cancel() {
    body.cancel();
  }
}
