package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Collects the body of a response in blocks of one size, so that a large one is never copied as it
 * grows. Not thread-safe.
 *
 * <p>All blocks but the last are full. Short ones at the start of a body can slow down a caller
 * with a small receive buffer, as TCP then fills its window only after a timeout.
 */
final class BodyBlocks {

  /** Size in bytes of a block, the last of which may be smaller. */
  static final int BLOCK_BYTES = 64 * 1024;

  private final List<byte[]> blocks = new ArrayList<>();
  private int lastSize;
  private int size;

  /** Returns the number of bytes. */
  int size() {
    return size;
  }

  /** Adds a piece. */
  void append(byte[] piece) {
    int from = 0;
    while (from < piece.length) {
      if (blocks.isEmpty() || lastSize == last().length) {
        makeRoom(piece.length - from);
      }
      int count = Math.min(piece.length - from, last().length - lastSize);
      System.arraycopy(piece, from, last(), lastSize, count);
      from += count;
      lastSize += count;
      size += count;
    }
  }

  private byte[] last() {
    return blocks.get(blocks.size() - 1);
  }

  /** Adds a block, or enlarges the only one, since most bodies are small. */
  private void makeRoom(int bytes) {
    if (blocks.isEmpty()) {
      blocks.add(new byte[Math.min(BLOCK_BYTES, bytes)]);
    } else if (last().length < BLOCK_BYTES) {
      int capacity = Math.max(2 * lastSize, lastSize + bytes);
      blocks.set(0, Arrays.copyOf(last(), Math.min(BLOCK_BYTES, capacity)));
    } else {
      blocks.add(new byte[BLOCK_BYTES]);
      lastSize = 0;
    }
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
