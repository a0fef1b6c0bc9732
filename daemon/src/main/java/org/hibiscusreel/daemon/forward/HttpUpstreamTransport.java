package org.hibiscusreel.daemon.forward;

import io.activej.http.HttpHeader;
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
import org.hibiscusreel.daemon.http.HttpCalls;
import org.hibiscusreel.daemon.http.HttpResult;

/**
 * Sends requests to upstreams over HTTP, each on a connection of its own: late bytes of an earlier
 * answer can't be taken for the next one, and closing the connection ends just this request.
 */
public final class HttpUpstreamTransport implements UpstreamTransport {

  private final HttpCalls calls;
  private final UpstreamDialect dialect;

  /**
   * Creates a transport.
   *
   * @param calls HTTP client without reuse of connections
   * @param dialect how upstreams read requests and spell answers
   * @throws NullPointerException if an argument is null
   */
  public HttpUpstreamTransport(HttpCalls calls, UpstreamDialect dialect) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.dialect = Objects.requireNonNull(dialect, "dialect");
  }

  @Override
  public Exchange send(UpstreamEntry upstream, Outgoing request, Listener listener) {
    List<Map.Entry<HttpHeader, String>> headers = new ArrayList<>();
    for (HeaderField f : dialect.fields(upstream, request)) {
      headers.add(Map.entry(HeaderFields.name(f.name()), f.value()));
    }
    HttpCalls.Exchange exchange =
        calls.open(
            HttpMethod.valueOf(request.caller().method()),
            "http://" + upstream.address() + request.caller().target(),
            headers,
            request.caller().body().length == 0 ? null : request.caller().body());
    BodyPump pump = new BodyPump(exchange, new Pieces(listener));
    exchange
        .response()
        .async()
        .whenResult(r -> onResponse(r, request, listener, pump))
        .whenException(e -> pump.fail(toOutcome(exchange, e), String.valueOf(e)));
    return pump;
  }

  private void onResponse(
      HttpResponse response, Outgoing request, Listener listener, BodyPump pump) {
    if (pump.isEnded()) {
      response.takeBodyStream().close();
      return;
    }
    List<HeaderField> fields = HeaderFields.endToEnd(response);
    UpstreamDialect.Verdict verdict = dialect.judge(request, response.getCode(), fields);
    if (verdict instanceof UpstreamDialect.Verdict.Unusable u) {
      response.takeBodyStream().close();
      pump.fail(u.outcome(), u.reason());
    } else if (verdict instanceof UpstreamDialect.Verdict.Usable u) {
      listener.onHead(response.getCode(), u.fields());
      pump.start(response.takeBodyStream());
    }
  }

  private static AttemptOutcome toOutcome(HttpCalls.Exchange exchange, Exception e) {
    return exchange.toFailure(String.valueOf(e)) instanceof HttpResult.NotSent
        ? AttemptOutcome.NOT_SENT
        : AttemptOutcome.BROKEN;
  }

  private record Pieces(Listener listener) implements BodyPump.Sink {

    @Override
    public void onBytes(byte[] bytes) {
      listener.onBytes(bytes);
    }

    @Override
    public void onEnd() {
      listener.onEnd();
    }

    @Override
    public void onFailure(AttemptOutcome outcome, String reason) {
      listener.onFailure(outcome, reason);
    }
  }
}
