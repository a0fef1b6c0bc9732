package org.hibiscusreel.daemon.forward;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.hibiscusreel.coordination.forward.CallerExchange;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.Refusal;
import org.hibiscusreel.daemon.http.CallerConnections;

/** Answers one request of a caller. */
final class CallerAnswer implements CallerExchange {

  /** The upstream is paused when this many bytes wait for the caller. */
  static final int HIGH_BYTES = 64 * 1024;

  private static final HeaderField CLOSE = new HeaderField("Connection", "close");

  private final CallerDialect dialect;
  private final CallerConnections.Entry connection;
  private final BooleanSupplier isStopping;
  private final SettablePromise<HttpResponse> response = new SettablePromise<>();
  private final ByteArrayOutputStream waiting = new ByteArrayOutputStream();
  private Forwarder.Handle handle;
  private SettablePromise<ByteBuf> reader;
  private boolean isPaused;
  private boolean isLastAdded;

  CallerAnswer(
      CallerDialect dialect, CallerConnections.Entry connection, BooleanSupplier isStopping) {
    this.dialect = dialect;
    this.connection = connection;
    this.isStopping = isStopping;
  }

  /** Returns the response; completes when its head is known. */
  Promise<HttpResponse> response() {
    return response;
  }

  /** Follows the connection for the request in progress. */
  void attach(Forwarder.Handle task) {
    handle = task;
    if (!isLastAdded) {
      connection.watch(this::onGone);
    }
  }

  private void onGone() {
    if (!isLastAdded) {
      isLastAdded = true;
      handle.onCallerGone();
    }
  }

  @Override
  public void respond(int status, List<HeaderField> fields, byte[] body) {
    isLastAdded = true;
    response.trySet(head(status, fields).withBody(body).build());
  }

  @Override
  public void refuse(Refusal refusal) {
    CallerDialect.Sent sent = dialect.write(refusal);
    respond(sent.status(), sent.fields(), new byte[0]);
  }

  @Override
  public void begin(int status, List<HeaderField> fields) {
    response.trySet(head(status, fields).withBodyStream(new Body()).build());
    connection.markStreamed();
  }

  private HttpResponse.Builder head(int status, List<HeaderField> fields) {
    HttpResponse.Builder b = HttpResponse.ofCode(status);
    fields.forEach(f -> b.withHeader(HeaderFields.name(f.name()), f.value()));
    if (isStopping.getAsBoolean()) {
      b.withHeader(HeaderFields.name(CLOSE.name()), CLOSE.value());
    }
    return b;
  }

  @Override
  public boolean write(byte[] piece) {
    waiting.writeBytes(piece);
    wakeReader();
    isPaused = waiting.size() >= HIGH_BYTES;
    return !isPaused;
  }

  @Override
  public void end() {
    isLastAdded = true;
    wakeReader();
  }

  @Override
  public void abort() {
    isLastAdded = true;
    connection.close();
  }

  private void wakeReader() {
    if (reader != null) {
      SettablePromise<ByteBuf> r = reader;
      reader = null;
      r.set(waiting.size() > 0 ? take() : null);
    }
  }

  private ByteBuf take() {
    ByteBuf b = ByteBuf.wrapForReading(waiting.toByteArray());
    waiting.reset();
    if (isPaused) {
      isPaused = false;
      handle.onWritable();
    }
    return b;
  }

  private final class Body extends AbstractChannelSupplier<ByteBuf> {

    @Override
    protected Promise<ByteBuf> doGet() {
      if (waiting.size() > 0) {
        return Promise.of(take());
      }
      if (isLastAdded) {
        return Promise.of(null);
      }
      reader = new SettablePromise<>();
      return reader;
    }

    @Override
    protected void onClosed(Exception e) {
      reader = null;
      onGone();
    }
  }
}
