package org.hibiscusreel.daemon.forward;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import java.util.Optional;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.LeasedBuffer;

/**
 * Reads the body of a request as far as there is memory for it. Otherwise the body is read and
 * discarded, since a caller that is still sending does not read its response.
 */
final class RequestBodyReader {

  private final LeasedBuffer content;
  private final int maxBytes;
  private int received;
  private boolean isDiscarded;

  private RequestBodyReader(BodyMemory.Lease memory, int maxBytes, int declaredBytes) {
    this.content = new LeasedBuffer(memory, declaredBytes > 0 ? declaredBytes : maxBytes);
    this.maxBytes = maxBytes;
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

  private void add(ByteBuf next) throws MalformedHttpException {
    int count = next.readRemaining();
    if (received + (long) count > maxBytes) {
      next.recycle();
      throw new MalformedHttpException("the body is larger than " + maxBytes + " bytes");
    }
    isDiscarded |= !isDiscarded && !content.append(next.array(), next.head(), count);
    next.recycle();
    received += count;
  }

  private Optional<byte[]> toResult() {
    return isDiscarded ? Optional.empty() : Optional.of(content.toArray());
  }
}
