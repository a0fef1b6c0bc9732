package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Collects the body of a response in blocks, so that a large one is never copied as it grows.
 * Blocks are filled, so that small pieces cost no array each. Not thread-safe.
 */
final class BodyBlocks {

  /** Largest size in bytes of a block, but for larger pieces. */
  static final int BLOCK_BYTES = 64 * 1024;

  private final List<byte[]> blocks = new ArrayList<>();
  private int lastSize;
  private int size;

  /** Returns the number of bytes. */
  int size() {
    return size;
  }

  /** Adds a piece, whose array must not change any more. */
  void append(byte[] piece) {
    if (piece.length == 0) {
      return;
    }
    int copied = fillLast(piece);
    int rest = piece.length - copied;
    if (rest > 0) {
      // Blocks grow with the body, since most bodies are small.
      int capacity = Math.max(rest, Math.min(BLOCK_BYTES, size));
      blocks.add(Arrays.copyOfRange(piece, copied, copied + capacity));
      lastSize = rest;
    }
    size += rest;
  }

  private int fillLast(byte[] piece) {
    if (blocks.isEmpty()) {
      return 0;
    }
    byte[] last = blocks.get(blocks.size() - 1);
    int copied = Math.min(piece.length, last.length - lastSize);
    System.arraycopy(piece, 0, last, lastSize, copied);
    lastSize += copied;
    size += copied;
    return copied;
  }

  /** Returns all bytes in order, and is empty then. */
  List<byte[]> take() {
    List<byte[]> taken = new ArrayList<>(blocks);
    if (!taken.isEmpty()) {
      int last = taken.size() - 1;
      taken.set(last, Arrays.copyOf(taken.get(last), lastSize));
    }
    blocks.clear();
    lastSize = 0;
    size = 0;
    return taken;
  }
}
