package org.hibiscusreel.daemon.forward;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.List;
import java.util.Objects;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.AsyncHttpClient;

/**
 * Sends requests to upstreams over HTTP, each on its own connection. Late bytes of an earlier
 * response can't be mistaken for the next one, and closing the connection cancels only this
 * request.
 */
public final class HttpUpstreamTransport implements UpstreamTransport {

  private static final int STATUS_OK = 200;

  private final AsyncHttpClient calls;
  private final UpstreamDialect dialect;
  private final UpstreamPaths paths;

  /**
   * Creates a transport.
   *
   * @param calls HTTP client
   * @param dialect message format of the upstreams
   * @param paths knows whether this host reaches the upstreams, and who relays otherwise
   * @throws NullPointerException if an argument is null
   */
  public HttpUpstreamTransport(
      AsyncHttpClient calls, UpstreamDialect dialect, UpstreamPaths paths) {
    this.calls = Objects.requireNonNull(calls, "calls");
    this.dialect = Objects.requireNonNull(dialect, "dialect");
    this.paths = Objects.requireNonNull(paths, "paths");
  }

  @Override
  public Exchange send(UpstreamEntry upstream, UpstreamRequest request, Listener listener) {
    ListenerSink sink = new ListenerSink(listener);
    UpstreamCall call =
        new UpstreamCall(
            calls,
            paths,
            upstream,
            request,
            dialect.headerFields(upstream, request),
            new UpstreamCall.Listener() {
              @Override
              public void onConnected() {
                listener.onConnected();
              }

              @Override
              public void onResponse(HttpResponse response, ResponseBodyReader body) {
                HttpUpstreamTransport.this.onResponse(response, request, sink, body);
              }
            },
            sink);
    call.start();
    return call;
  }

  @Override
  public boolean isIsolated() {
    return paths.isIsolated();
  }

  @Override
  public boolean hasPath() {
    return paths.hasPath();
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
      boolean isEndVisible = hasEndMark(response) || bodyReader.endsWithHead();
      if (response.getCode() == STATUS_OK && !isEndVisible) {
        sink.requireBody();
      }
      sink.listener.onHead(response.getCode(), accepted.fields());
      bodyReader.start(response.takeBodyStream());
    }
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
