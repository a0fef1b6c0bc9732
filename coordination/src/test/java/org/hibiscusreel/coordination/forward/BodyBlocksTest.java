package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BodyBlocksTest {

  /** Guards against bytes that are lost between blocks, and against blocks that aren't full. */
  @ParameterizedTest
  @CsvSource({
    // largest size of a piece, number of pieces
    "1, 0",
    "800, 1",
    "1, 65536",
    "1, 100000",
    "16384, 300",
    "200000, 3"
  })
  void keepsAllBytesInFullBlocks(int mostBytes, int pieces) {
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
    int lastBlock = (expected.size() - 1) / BodyBlocks.BLOCK_BYTES;
    assertThat(blocks).hasSize(expected.size() == 0 ? 0 : lastBlock + 1);
    assertThat(blocks.stream().limit(lastBlock)).allMatch(b -> b.length == BodyBlocks.BLOCK_BYTES);
    assertThat(body.take()).isEmpty();
    assertThat(body.size()).isZero();
  }
}
