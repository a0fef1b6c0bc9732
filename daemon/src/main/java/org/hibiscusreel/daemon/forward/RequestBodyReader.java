package org.hibiscusreel.daemon.forward;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import java.util.Arrays;
import java.util.Optional;
import org.hibiscusreel.daemon.http.BodyMemory;

/**
 * Reads the body of a request as far as there is memory for it. Otherwise the body is read and
 * discarded, since a caller that is still sending does not read its response. Memory is taken as
 * the bytes arrive: a caller that only declares them keeps none from others.
 */
final class RequestBodyReader {

  private final BodyMemory.Lease memory;
  private final int maxBytes;
  private final int declaredBytes;
  private byte[] content = new byte[0];
  private int received;
  private boolean isDiscarded;

  private RequestBodyReader(BodyMemory.Lease memory, int maxBytes, int declaredBytes) {
    this.memory = memory;
    this.maxBytes = maxBytes;
    this.declaredBytes = declaredBytes;
    this.isDiscarded = !memory.hasRoom(declaredBytes);
  }

  /**
   * Reads a body to its end.
   *
   * @param request request whose body was not read yet
   * @param memory counts the bytes that are kept
   * @param maxBytes size in bytes beyond which the request is malformed
   * @return the body, or empty if there was no memory for it
   */
  static Promise<Optional<byte[]>> read(
      HttpRequest request, BodyMemory.Lease memory, int maxBytes) {
    RequestBodyReader reader =
        new RequestBodyReader(memory, maxBytes, declaredBytes(request, maxBytes));
    return ChannelSupplier.collect(
        request.takeBodyStream(), reader, RequestBodyReader::add, RequestBodyReader::toResult);
  }

  /** Returns the declared length, 0 if there is none or the body is too large anyway. */
  private static int declaredBytes(HttpRequest request, int maxBytes) {
    String text = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    try {
      long length = text == null ? 0 : Long.parseLong(text.strip());
      return length > 0 && length <= maxBytes ? (int) length : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Makes room for a number of bytes, or discards what was read if there is no memory. */
  private void reserve(int bytes) {
    if (isDiscarded || bytes <= content.length) {
      return;
    }
    int mostBytes = declaredBytes > 0 ? declaredBytes : maxBytes;
    if (!grow(Math.max(bytes, Math.min(2 * bytes, mostBytes))) && !grow(bytes)) {
      isDiscarded = true;
      content = new byte[0];
      memory.release();
    }
  }

  private boolean grow(int capacity) {
    boolean hasRoom = memory.grow(capacity - content.length);
    if (hasRoom) {
      content = Arrays.copyOf(content, capacity);
    }
    return hasRoom;
  }

  private void add(ByteBuf next) throws MalformedHttpException {
    int count = next.readRemaining();
    if (received + (long) count > maxBytes) {
      next.recycle();
      throw new MalformedHttpException("the body is larger than " + maxBytes + " bytes");
    }
    reserve(received + count);
    if (!isDiscarded) {
      next.drainTo(content, received, count);
    }
    next.recycle();
    received += count;
  }

  private Optional<byte[]> toResult() {
    if (isDiscarded) {
      return Optional.empty();
    }
    return Optional.of(content.length == received ? content : Arrays.copyOf(content, received));
  }
}
