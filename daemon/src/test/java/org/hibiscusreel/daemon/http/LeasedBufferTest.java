package org.hibiscusreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeasedBufferTest {

  private static final int LIMIT = 10_000;

  /** Guards against capacity that is not counted, and against bytes that are lost as it grows. */
  @ParameterizedTest
  @CsvSource({
    // size of the pieces, their number, whether there is memory for all
    "1, 1, true",
    "1, 10000, true",
    "1, 10001, false",
    "7, 1428, true",
    "3000, 3, true",
    "3000, 4, false",
    "10000, 1, true",
    "10001, 1, false"
  })
  void countsCapacity(int pieceBytes, int pieces, boolean hasMemory) {
    BodyMemory memory = new BodyMemory(LIMIT, LIMIT, 0);
    LeasedBuffer buffer = new LeasedBuffer(memory.lease("a"), LIMIT);
    byte[] body = new byte[pieceBytes * pieces];
    new Random(pieces).nextBytes(body);
    boolean isKept = true;
    for (int i = 0; i < pieces && isKept; i++) {
      isKept = buffer.append(body, i * pieceBytes, pieceBytes);
      assertThat(memory.usedBytes()).isBetween(isKept ? (i + 1L) * pieceBytes : 0, (long) LIMIT);
    }
    assertThat(isKept).isEqualTo(hasMemory);
    assertThat(buffer.toArray()).isEqualTo(hasMemory ? body : new byte[0]);
    buffer.release();
    assertThat(memory.usedBytes()).isZero();
  }
}
