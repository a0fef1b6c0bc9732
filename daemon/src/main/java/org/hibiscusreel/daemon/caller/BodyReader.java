package org.hibiscusreel.daemon.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.LeasedBuffer;

/** Reads the body of a request with a size limit and a timeout. */
final class BodyReader {

  /** Longest time from the headers of a request to the end of its body, in milliseconds. */
  static final long BODY_TIMEOUT_MILLIS = 15_000;

  /**
   * A body above the limit is read and discarded up to this multiple of the limit, because a caller
   * that is still sending does not read the refusal.
   */
  private static final int DISCARD_FACTOR = 8;

  private static final long RETRY_AFTER_MILLIS = 1000;

  private final ChannelSupplier<ByteBuf> source;
  private final int limit;
  private final LeasedBuffer body;
  private final SettablePromise<byte[]> result = new SettablePromise<>();
  private final Cancellable timer;
  private boolean isBuffered = true;
  private long received;

  private BodyReader(
      ChannelSupplier<ByteBuf> source, int limit, BodyMemory memory, Scheduler scheduler) {
    this.source = source;
    this.limit = limit;
    this.body = new LeasedBuffer(memory.lease(""), limit);
    this.timer =
        scheduler.schedule(
            BODY_TIMEOUT_MILLIS,
            () ->
                fail(
                    new ProblemException(
                        ProblemCode.MALFORMED_REQUEST, "the body did not arrive in time")));
  }

  /**
   * Reads and discards the body of a request that is already refused. Completes with whether the
   * body arrived completely.
   */
  static Promise<Boolean> discard(
      ChannelSupplier<ByteBuf> source, int limit, BodyMemory memory, Scheduler scheduler) {
    BodyReader reader = new BodyReader(source, limit, memory, scheduler);
    reader.isBuffered = false;
    reader.readNext();
    return reader.result.map(b -> true, e -> false);
  }

  /**
   * Reads a body. Fails with {@link ProblemException} if it is too large, incomplete or too slow,
   * or if too many bodies are being read.
   */
  static Promise<byte[]> read(
      ChannelSupplier<ByteBuf> source, int limit, BodyMemory memory, Scheduler scheduler) {
    BodyReader reader = new BodyReader(source, limit, memory, scheduler);
    reader.readNext();
    return reader.result;
  }

  private void readNext() {
    while (!result.isComplete()) {
      Promise<ByteBuf> buffer = source.get();
      if (!buffer.isComplete()) {
        buffer.whenComplete(
            (buf, e) -> {
              onBuffer(buf, e);
              readNext();
            });
        return;
      }
      onBuffer(buffer.isResult() ? buffer.getResult() : null, buffer.getException());
    }
  }

  private void onBuffer(ByteBuf buf, Exception e) {
    if (e != null) {
      fail(new ProblemException(ProblemCode.MALFORMED_REQUEST, "the body broke off"));
    } else if (buf == null) {
      complete();
    } else {
      received += buf.readRemaining();
      if (received <= limit && isBuffered) {
        append(buf);
      } else {
        buf.recycle();
        body.release();
        if (received > (long) limit * DISCARD_FACTOR) {
          fail(tooLarge());
        }
      }
    }
  }

  private void append(ByteBuf buf) {
    boolean hasRoom = body.append(buf.array(), buf.head(), buf.readRemaining());
    buf.recycle();
    if (!hasRoom) {
      fail(
          new ProblemException(
              ProblemCode.OVERLOADED, "too many bodies are being read", RETRY_AFTER_MILLIS));
    }
  }

  private void complete() {
    timer.cancel();
    if (received > limit) {
      fail(tooLarge());
    } else {
      byte[] bytes = body.toArray();
      body.release();
      result.trySet(bytes);
    }
  }

  private void fail(ProblemException e) {
    timer.cancel();
    body.release();
    result.trySetException(e);
  }

  private ProblemException tooLarge() {
    return new ProblemException(
        ProblemCode.BODY_TOO_LARGE, "the body is larger than " + limit + " bytes");
  }
}
