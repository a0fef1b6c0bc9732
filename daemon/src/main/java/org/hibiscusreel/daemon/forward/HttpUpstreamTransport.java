package org.hibiscusreel.daemon.forward;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;

/**
 * Sends requests to upstreams over HTTP, each on its own connection. Late bytes of an earlier
 * response can't be mistaken for the next one, and closing the connection cancels only this
 * request.
 */
public final class HttpUpstreamTransport implements UpstreamTransport {

  private static final int STATUS_OK = 200;

  private final AsyncHttpClient calls;
  private final UpstreamDialect dialect;

  /**
   * Creates a transport.
   *
   * @param calls HTTP client
   * @param dialect message format of the upstreams
   * @throws NullPointerException if an argument is null
   */
  public HttpUpstreamTransport(AsyncHttpClient calls, UpstreamDialect dialect) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.dialect = Objects.requireNonNull(dialect, "dialect");
  }

  @Override
  public Exchange send(UpstreamEntry upstream, UpstreamRequest request, Listener listener) {
    List<Map.Entry<HttpHeader, String>> headers = new ArrayList<>();
    for (HeaderField field : dialect.headerFields(upstream, request)) {
      headers.add(Map.entry(HeaderFields.toHttpHeader(field.name()), field.value()));
    }
    AsyncHttpClient.Exchange exchange =
        calls.open(
            HttpMethod.valueOf(request.caller().method()),
            "http://" + upstream.address() + request.caller().target(),
            headers,
            request.caller().body().length == 0 ? null : request.caller().body());
    exchange.limitFraming();
    ListenerSink sink = new ListenerSink(listener);
    ResponseBodyReader bodyReader = new ResponseBodyReader(exchange, sink);
    exchange
        .response()
        .async()
        .whenResult(r -> onResponse(r, request, sink, bodyReader))
        .whenException(e -> bodyReader.fail(toOutcome(exchange, e), String.valueOf(e)));
    return bodyReader;
  }

  /**
   * Handles the first response. ActiveJ ends the exchange with an interim response (1xx), so the
   * final one is lost.
   */
  private void onResponse(
      HttpResponse response,
      UpstreamRequest request,
      ListenerSink sink,
      ResponseBodyReader bodyReader) {
    if (bodyReader.isEnded()) {
      response.takeBodyStream().close();
      return;
    }
    if (response.getCode() < STATUS_OK) {
      response.takeBodyStream().close();
      bodyReader.fail(AttemptOutcome.BROKEN, "interim response, status " + response.getCode());
      return;
    }
    List<HeaderField> fields = HeaderFields.endToEnd(response);
    dialect.notice(response.getCode(), fields).ifPresent(sink.listener::onNotice);
    UpstreamDialect.ResponseCheck check =
        dialect.checkResponse(request, response.getCode(), fields);
    if (check instanceof UpstreamDialect.ResponseCheck.Rejected rejected) {
      response.takeBodyStream().close();
      bodyReader.fail(rejected.outcome(), rejected.reason());
    } else if (check instanceof UpstreamDialect.ResponseCheck.Accepted accepted) {
      if (response.getCode() == STATUS_OK && !hasEndMark(response)) {
        sink.requireBody();
      }
      sink.listener.onHead(response.getCode(), accepted.fields());
      bodyReader.start(response.takeBodyStream());
    }
  }

  private static AttemptOutcome toOutcome(AsyncHttpClient.Exchange exchange, Exception e) {
    return exchange.toFailure(String.valueOf(e)) instanceof HttpResult.NotSent
        ? AttemptOutcome.NOT_SENT
        : AttemptOutcome.BROKEN;
  }

  private static boolean hasEndMark(HttpResponse response) {
    return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
        || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
  }

  private static final class ListenerSink implements ResponseBodyReader.Sink {

    private final Listener listener;
    private boolean mayBeEmpty = true;

    ListenerSink(Listener listener) {
      this.listener = listener;
    }

    /**
     * Treats an empty body as broken off. Without a length, a crash right after the head looks like
     * an empty body.
     */
    void requireBody() {
      mayBeEmpty = false;
    }

    @Override
    public void onBytes(byte[] bytes) {
      mayBeEmpty |= bytes.length > 0;
      listener.onBytes(bytes);
    }

    @Override
    public void onEnd() {
      if (mayBeEmpty) {
        listener.onEnd();
      } else {
        listener.onFailure(AttemptOutcome.BROKEN, "the connection ended before the body");
      }
    }

    @Override
    public void onFailure(AttemptOutcome outcome, String reason) {
      listener.onFailure(outcome, reason);
    }
  }
}
