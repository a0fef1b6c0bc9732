package org.hibiscusreel.daemon.forward;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.http.HttpHeaders;
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
import org.hibiscusreel.daemon.http.BodyPieces;
import org.hibiscusreel.daemon.http.CallerConnections;

/**
 * Writes the response to one request of a caller and pauses the upstream if the caller reads
 * slowly.
 */
final class CallerResponseWriter implements CallerExchange {

  /** Number of buffered bytes at which the upstream is paused until the caller reads. */
  static final int HIGH_WATER_MARK_BYTES = 64 * 1024;

  private static final HeaderField CONNECTION_CLOSE = new HeaderField("Connection", "close");

  private final CallerDialect dialect;
  private final CallerConnections.TrackedConnection connection;
  private final boolean isHeadRequest;
  private final BooleanSupplier shouldClose;
  private final Runnable onEnded;
  private final SettablePromise<HttpResponse> response = new SettablePromise<>();
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private Forwarder.Handle handle;
  private SettablePromise<ByteBuf> pendingRead;
  private boolean isPaused;
  private boolean isEnded;

  /**
   * Creates a writer for one response.
   *
   * @param dialect message format of the callers
   * @param connection connection of the caller
   * @param isHeadRequest whether the response ends with its head
   * @param shouldClose tells whether the caller is asked to connect again
   * @param onEnded called once the response is known completely, or will never be
   */
  CallerResponseWriter(
      CallerDialect dialect,
      CallerConnections.TrackedConnection connection,
      boolean isHeadRequest,
      BooleanSupplier shouldClose,
      Runnable onEnded) {
    this.dialect = dialect;
    this.connection = connection;
    this.isHeadRequest = isHeadRequest;
    this.shouldClose = shouldClose;
    this.onEnded = onEnded;
  }

  /** Returns the response, which completes when its status and headers are known. */
  Promise<HttpResponse> response() {
    return response;
  }

  /** Begins to detect that the caller disconnects. Must be called once, after the body was read. */
  void detectDisconnect() {
    connection.setDisconnectTask(this::onDisconnected);
  }

  /** Returns whether the response is complete or the caller has disconnected. */
  boolean isEnded() {
    return isEnded;
  }

  /** Sets the forwarding task, which is notified when the caller disconnects. */
  void setTask(Forwarder.Handle task) {
    handle = task;
  }

  private void markEnded() {
    if (!isEnded) {
      isEnded = true;
      onEnded.run();
    }
  }

  private void onDisconnected() {
    if (!isEnded) {
      markEnded();
      if (handle != null) {
        handle.onCallerDisconnected();
      }
    }
  }

  @Override
  public void respond(int status, List<HeaderField> fields, byte[] body) {
    respond(status, fields, List.of(body));
  }

  @Override
  public void respond(int status, List<HeaderField> fields, List<byte[]> body) {
    markEnded();
    int length = body.stream().mapToInt(b -> b.length).sum();
    HttpResponse.Builder builder = newResponse(status, fields);
    if (BodyPieces.isLarge(length) && !isHeadRequest) {
      builder.withHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(length));
      builder.withBodyStream(BodyPieces.ofParts(body));
    } else {
      builder.withBody(join(body));
    }
    connection.addUnsent(length);
    response.trySet(builder.build());
  }

  private static byte[] join(List<byte[]> parts) {
    if (parts.size() == 1) {
      return parts.get(0);
    }
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    parts.forEach(joined::writeBytes);
    return joined.toByteArray();
  }

  @Override
  public void refuse(Refusal refusal) {
    CallerDialect.RefusalResponse sent = dialect.write(refusal);
    respond(sent.status(), sent.fields(), new byte[0]);
  }

  @Override
  public void begin(int status, List<HeaderField> fields) {
    if (isHeadRequest) {
      // ActiveJ would send the last chunk of an empty body.
      response.trySet(newResponse(status, fields).build());
      return;
    }
    response.trySet(newResponse(status, fields).withBodyStream(new Body()).build());
    connection.markStreamed();
  }

  private HttpResponse.Builder newResponse(int status, List<HeaderField> fields) {
    HttpResponse.Builder builder = HttpResponse.ofCode(status);
    fields.forEach(f -> builder.withHeader(HeaderFields.toHttpHeader(f.name()), f.value()));
    if (shouldClose.getAsBoolean()) {
      builder.withHeader(
          HeaderFields.toHttpHeader(CONNECTION_CLOSE.name()), CONNECTION_CLOSE.value());
    }
    return builder;
  }

  @Override
  public boolean write(byte[] piece) {
    buffered.writeBytes(piece);
    connection.addUnsent(piece.length);
    completePendingRead();
    isPaused = buffered.size() >= HIGH_WATER_MARK_BYTES;
    return !isPaused;
  }

  @Override
  public void end() {
    markEnded();
    completePendingRead();
  }

  @Override
  public void abort() {
    markEnded();
    connection.close();
  }

  private void completePendingRead() {
    if (pendingRead != null) {
      SettablePromise<ByteBuf> read = pendingRead;
      pendingRead = null;
      read.set(buffered.size() > 0 ? drainBuffered() : null);
    }
  }

  private ByteBuf drainBuffered() {
    ByteBuf buffer = ByteBuf.wrapForReading(buffered.toByteArray());
    buffered.reset();
    if (isPaused) {
      isPaused = false;
      handle.onWritable();
    }
    return buffer;
  }

  private final class Body extends AbstractChannelSupplier<ByteBuf> {

    @Override
    protected Promise<ByteBuf> doGet() {
      if (buffered.size() > 0) {
        return Promise.of(drainBuffered());
      }
      if (isEnded) {
        return Promise.of(null);
      }
      pendingRead = new SettablePromise<>();
      return pendingRead;
    }

    @Override
    protected void onClosed(Exception e) {
      pendingRead = null;
      onDisconnected();
    }
  }
}
