package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BodyBlocksTest {

  /** Guards against bytes that are lost between blocks, and against an array for each piece. */
  @ParameterizedTest
  @CsvSource({
    // largest size of a piece, number of pieces, most blocks
    "1, 0, 0",
    "800, 1, 1",
    "1, 100000, 20",
    "16384, 300, 60",
    "200000, 3, 4"
  })
  void keepsAllBytesInFewBlocks(int mostBytes, int pieces, int mostBlocks) {
    Random random = new Random(mostBytes);
    BodyBlocks body = new BodyBlocks();
    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    for (int i = 0; i < pieces; i++) {
      byte[] piece = new byte[1 + random.nextInt(mostBytes)];
      random.nextBytes(piece);
      body.append(piece);
      expected.writeBytes(piece);
      assertThat(body.size()).isEqualTo(expected.size());
    }
    List<byte[]> blocks = body.take();
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    blocks.forEach(joined::writeBytes);
    assertThat(joined.toByteArray()).isEqualTo(expected.toByteArray());
    assertThat(blocks).hasSizeLessThanOrEqualTo(mostBlocks);
    assertThat(blocks).allMatch(b -> b.length > 0);
    assertThat(body.take()).isEmpty();
    assertThat(body.size()).isZero();
  }
}
