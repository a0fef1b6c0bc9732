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

  private static final long RETRY_MILLIS = 1000;

  /** Bytes that all bodies being read may take. */
  static final class Memory {

    private final long limit;
    private long used;

    Memory(long limit) {
      this.limit = limit;
    }
  }

  private final ChannelSupplier<ByteBuf> source;
  private final Memory memory;
  private final int limit;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final SettablePromise<byte[]> result = new SettablePromise<>();
  private final Cancellable timer;
  private boolean isKept = true;
  private long received;

  private BodyReader(
      ChannelSupplier<ByteBuf> source, int limit, Memory memory, Scheduler scheduler) {
    this.source = source;
    this.limit = limit;
    this.memory = memory;
    this.timer =
        scheduler.schedule(
            BODY_TIMEOUT_MILLIS,
            () ->
                fail(
                    new ProblemException(
                        ProblemCode.MALFORMED_REQUEST, "the body did not arrive in time")));
  }

  /**
   * Reads a body of a caller without a valid key and throws it away; tells whether it was whole.
   */
  static Promise<Boolean> discard(
      ChannelSupplier<ByteBuf> source, int limit, Memory memory, Scheduler scheduler) {
    BodyReader r = new BodyReader(source, limit, memory, scheduler);
    r.isKept = false;
    r.next();
    return r.result.map(b -> true, e -> false);
  }

  /** Reads a body; fails with {@link ProblemException} for one that is too large or too slow. */
  static Promise<byte[]> read(
      ChannelSupplier<ByteBuf> source, int limit, Memory memory, Scheduler scheduler) {
    BodyReader r = new BodyReader(source, limit, memory, scheduler);
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
        keep(buf.asArray());
      } else {
        buf.recycle();
        release();
        if (received > (long) limit * DISCARD_FACTOR) {
          fail(tooLarge());
        }
      }
    }
  }

  private void keep(byte[] bytes) {
    if (memory.used + bytes.length > memory.limit) {
      fail(
          new ProblemException(
              ProblemCode.OVERLOADED, "too many bodies are being read", RETRY_MILLIS));
      return;
    }
    memory.used += bytes.length;
    body.writeBytes(bytes);
  }

  private void release() {
    memory.used -= body.size();
    body.reset();
  }

  private void end() {
    timer.cancel();
    if (received > limit) {
      fail(tooLarge());
    } else {
      byte[] whole = body.toByteArray();
      release();
      result.trySet(whole);
    }
  }

  private void fail(ProblemException e) {
    timer.cancel();
    release();
    result.trySetException(e);
  }

  private ProblemException tooLarge() {
    return new ProblemException(
        ProblemCode.BODY_TOO_LARGE, "the body is larger than " + limit + " bytes");
  }
}
