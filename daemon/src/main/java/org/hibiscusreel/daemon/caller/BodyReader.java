package org.hibiscusreel.daemon.caller;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.request.ProblemCode;

/** Reads the body of a request up to a limit and within a time. */
final class BodyReader {

  /** Longest time from the headers of a request to the end of its body. */
  static final long BODY_TIMEOUT_MILLIS = 15_000;

  /**
   * A body above the limit is read on and thrown away up to this many times the limit, since a
   * caller that is still sending does not see the refusal.
   */
  private static final int DISCARD_FACTOR = 8;

  private final ChannelSupplier<ByteBuf> source;
  private final int limit;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final SettablePromise<byte[]> result = new SettablePromise<>();
  private final Cancellable timer;
  private boolean isKept = true;
  private long received;

  private BodyReader(ChannelSupplier<ByteBuf> source, int limit, Scheduler scheduler) {
    this.source = source;
    this.limit = limit;
    this.timer =
        scheduler.schedule(
            BODY_TIMEOUT_MILLIS,
            () ->
                fail(
                    new ProblemException(
                        ProblemCode.MALFORMED_REQUEST, "the body did not arrive in time")));
  }

  /** Reads a body of a caller without a valid key and throws it away; never fails. */
  static Promise<Void> discard(ChannelSupplier<ByteBuf> source, int limit, Scheduler scheduler) {
    BodyReader r = new BodyReader(source, limit, scheduler);
    r.isKept = false;
    r.next();
    return r.result.map(b -> null, e -> null);
  }

  /** Reads a body; fails with {@link ProblemException} for one that is too large or too slow. */
  static Promise<byte[]> read(ChannelSupplier<ByteBuf> source, int limit, Scheduler scheduler) {
    BodyReader r = new BodyReader(source, limit, scheduler);
    r.next();
    return r.result;
  }

  private void next() {
    while (!result.isComplete()) {
      Promise<ByteBuf> p = source.get();
      if (!p.isComplete()) {
        p.whenComplete(
            (buf, e) -> {
              onRead(buf, e);
              next();
            });
        return;
      }
      onRead(p.isResult() ? p.getResult() : null, p.getException());
    }
  }

  private void onRead(ByteBuf buf, Exception e) {
    if (e != null) {
      fail(new ProblemException(ProblemCode.MALFORMED_REQUEST, "the body broke off"));
    } else if (buf == null) {
      end();
    } else {
      received += buf.readRemaining();
      if (received <= limit && isKept) {
        body.writeBytes(buf.asArray());
      } else {
        buf.recycle();
        body.reset();
        if (received > (long) limit * DISCARD_FACTOR) {
          fail(tooLarge());
        }
      }
    }
  }

  private void end() {
    timer.cancel();
    if (received > limit) {
      fail(tooLarge());
    } else {
      result.trySet(body.toByteArray());
    }
  }

  private void fail(ProblemException e) {
    timer.cancel();
    result.trySetException(e);
  }

  private ProblemException tooLarge() {
    return new ProblemException(
        ProblemCode.BODY_TOO_LARGE, "the body is larger than " + limit + " bytes");
  }
}
