package org.hibiscusreel.daemon.forward;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.daemon.http.AsyncHttpClient;

/** Reads the body of an upstream's response buffer by buffer and passes it to a sink. */
final class ResponseBodyReader implements UpstreamTransport.Exchange {

  /** Receives the buffers of the body, then its end or a failure. */
  interface Sink {

    void onBytes(byte[] bytes);

    void onEnd();

    void onFailure(AttemptOutcome outcome, String reason);
  }

  private final AsyncHttpClient.Exchange exchange;
  private final Sink sink;
  private ChannelSupplier<ByteBuf> body;
  private boolean paused;
  private boolean reading;
  private boolean ended;

  ResponseBodyReader(AsyncHttpClient.Exchange exchange, Sink sink) {
    this.exchange = exchange;
    this.sink = sink;
  }

  boolean endsWithHead() {
    return exchange.endsWithHead();
  }

  boolean isEnded() {
    return ended;
  }

  void start(ChannelSupplier<ByteBuf> source) {
    body = source;
    if (ended) {
      body.close();
    } else if (exchange.endsWithHead()) {
      close();
      sink.onEnd();
    }
    read();
  }

  void fail(AttemptOutcome outcome, String reason) {
    if (!ended) {
      close();
      sink.onFailure(outcome, reason);
    }
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
    if (!ended) {
      close();
    }
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
    } else if (e != null) {
      fail(AttemptOutcome.BROKEN, String.valueOf(e));
    } else if (buf == null) {
      close();
      sink.onEnd();
    } else {
      byte[] bytes = buf.asArray();
      exchange.onBodyBytes(bytes.length);
      sink.onBytes(bytes);
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
