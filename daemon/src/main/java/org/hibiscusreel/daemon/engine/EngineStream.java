package org.hibiscusreel.daemon.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hibiscusreel.coordination.port.EngineCall;
import org.hibiscusreel.coordination.port.EngineEnd;
import org.hibiscusreel.coordination.port.EngineFailure;
import org.hibiscusreel.coordination.port.EngineListener;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.HttpResult;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Connection over which an engine streams an answer. Used only on the event loop. */
final class EngineStream implements EngineCall {

  private static final int MAX_ERROR_BYTES = 64 * 1024;
  private static final int MAX_DETAIL_CHARS = 500;

  private final AsyncHttpClient.Exchange exchange;
  private final EngineListener listener;
  private final boolean resumed;
  private final Runnable cancelAtEngine;
  private final ServerSentEventParser events = new ServerSentEventParser(this::onEvent);
  private ChannelSupplier<ByteBuf> body;
  private EngineEnd end;
  private boolean paused;
  private boolean reading;
  private boolean ended;

  EngineStream(
      AsyncHttpClient.Exchange exchange,
      EngineListener listener,
      boolean resumed,
      Runnable cancelAtEngine) {
    this.exchange = exchange;
    this.listener = listener;
    this.resumed = resumed;
    this.cancelAtEngine = cancelAtEngine;
  }

  /** Starts to read the response. */
  void start() {
    exchange
        .response()
        .async()
        .whenResult(this::onResponse)
        .whenException(e -> fail(toFailure(String.valueOf(e))));
  }

  @Override
  public void pause() {
    paused = true;
  }

  @Override
  public void resumeReading() {
    paused = false;
    read();
  }

  @Override
  public void cancel() {
    if (ended) {
      return;
    }
    close();
    cancelAtEngine.run();
  }

  private void onResponse(HttpResponse response) {
    if (ended) {
      response.takeBodyStream().close();
      return;
    }
    int status = response.getCode();
    if (status == 200) {
      body = response.takeBodyStream();
      read();
      return;
    }
    long retryAfter = AsyncHttpClient.retryAfterMillis(response);
    response
        .loadBody(MAX_ERROR_BYTES)
        .whenResult(
            b -> fail(toStatusFailure(status, retryAfter, b.getString(StandardCharsets.UTF_8))))
        .whenException(e -> fail(toStatusFailure(status, retryAfter, String.valueOf(e))));
  }

  private EngineFailure toStatusFailure(int status, long retryAfterMillis, String detail) {
    String shortened =
        detail.length() > MAX_DETAIL_CHARS ? detail.substring(0, MAX_DETAIL_CHARS) : detail;
    if (resumed) {
      return status == 404 || status == 410
          ? new EngineFailure.StreamLost("status " + status)
          : new EngineFailure.Broken("status " + status);
    }
    if (status == 429 || status == 503) {
      return new EngineFailure.NotStarted("status " + status, retryAfterMillis);
    }
    if (status >= 400 && status < 500) {
      return new EngineFailure.Rejected(status, shortened);
    }
    return new EngineFailure.Broken("status " + status);
  }

  private EngineFailure toFailure(String reason) {
    // A resumed stream was started earlier, so it is never reported as not started.
    if (!resumed && exchange.toFailure(reason) instanceof HttpResult.NotSent) {
      return new EngineFailure.NotStarted(reason, 0);
    }
    return new EngineFailure.Broken(reason);
  }

  /** Reads while buffers are available; at most one read is outstanding. */
  private void read() {
    if (reading || body == null) {
      return;
    }
    while (!paused && !ended) {
      var next = body.get();
      if (!next.isComplete()) {
        reading = true;
        next.whenComplete(
            (buf, e) -> {
              reading = false;
              onRead(buf, e);
              read();
            });
        return;
      }
      onRead(next.isResult() ? next.getResult() : null, next.getException());
    }
  }

  private void onRead(ByteBuf buf, Exception e) {
    if (ended) {
      if (buf != null) {
        buf.recycle();
      }
      return;
    }
    if (e != null) {
      fail(new EngineFailure.Broken(String.valueOf(e)));
      return;
    }
    if (buf == null) {
      fail(new EngineFailure.Broken("the stream ended without its end mark"));
      return;
    }
    try {
      events.parse(buf.asArray());
    } catch (IOException f) {
      fail(new EngineFailure.Broken("malformed stream: " + f.getMessage()));
    }
  }

  private void onEvent(String id, String data) throws IOException {
    if (ended) {
      return;
    }
    if (data.equals("[DONE]")) {
      if (end == null) {
        throw new IOException("no finish_reason before [DONE]");
      }
      close();
      listener.onEnd(end);
      return;
    }
    long offset = toOffset(id);
    JsonNode chunk = JsonBodies.readObject(data.getBytes(StandardCharsets.UTF_8));
    JsonNode choice = chunk.path("choices").path(0);
    if (choice.isMissingNode()) {
      throw new IOException("a chunk without choices");
    }
    String text = choice.path("delta").path("content").asText("");
    boolean last = choice.hasNonNull("finish_reason");
    if (last) {
      JsonNode usage = JsonBodies.require(chunk, "usage");
      // The last chunk counts as a piece only if it contains text.
      end =
          new EngineEnd(
              text.isEmpty() ? offset : offset + 1,
              choice.get("finish_reason").asText(),
              JsonBodies.require(usage, "prompt_tokens").asLong(),
              JsonBodies.require(usage, "completion_tokens").asLong());
    }
    if (!last || !text.isEmpty()) {
      listener.onPiece(offset, text);
    }
  }

  private static long toOffset(String id) throws IOException {
    try {
      return Long.parseLong(id);
    } catch (NumberFormatException e) {
      throw new IOException("a chunk without an offset", e);
    }
  }

  private void fail(EngineFailure failure) {
    if (!ended) {
      close();
      listener.onFailure(failure);
    }
  }

  private void close() {
    ended = true;
    if (body != null) {
      body.close();
    }
    exchange.abort();
  }
}
