package org.hibiscusreel.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Sends large bodies piece by piece. ActiveJ copies a body that it gets whole, together with the
 * head, into a buffer of the next power of two, and the JDK copies that into a direct buffer.
 */
public final class BodyPieces {

  /** Largest size in bytes of a body that is sent whole, and of a piece. */
  static final int PIECE_BYTES = 64 * 1024;

  private BodyPieces() {}

  /**
   * Tells whether a body is sent piece by piece.
   *
   * @param length size of the body in bytes
   * @return true if it is larger than one piece
   */
  public static boolean isLarge(int length) {
    return length > PIECE_BYTES;
  }

  /**
   * Returns the pieces of a body, which refer to its array; each is created when the last one was
   * sent. The message must state the length, or the body would be sent in chunks.
   *
   * @param body the body, which must not change
   * @return the pieces in order
   */
  public static ChannelSupplier<ByteBuf> of(byte[] body) {
    int count = (body.length + PIECE_BYTES - 1) / PIECE_BYTES;
    Iterator<ByteBuf> pieces =
        IntStream.range(0, count)
            .mapToObj(i -> ByteBuf.wrap(body, i * PIECE_BYTES, end(i, body.length)))
            .iterator();
    return ChannelSuppliers.ofIterator(pieces);
  }

  private static int end(int piece, int length) {
    return Math.min(length, (piece + 1) * PIECE_BYTES);
  }

  /**
   * Returns the parts of a body. Each is given up when it was sent, so that its memory is free.
   *
   * @param parts the parts, which must not change
   * @return the parts in order, but for empty ones
   */
  public static ChannelSupplier<ByteBuf> ofParts(List<byte[]> parts) {
    Deque<byte[]> left = new ArrayDeque<>(parts);
    left.removeIf(p -> p.length == 0);
    return ChannelSuppliers.ofSupplier(
        () -> left.isEmpty() ? null : ByteBuf.wrapForReading(left.poll()));
  }
}
