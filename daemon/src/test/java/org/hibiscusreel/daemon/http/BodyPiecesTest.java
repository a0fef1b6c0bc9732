package org.hibiscusreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BodyPiecesTest {

  /** Guards against a large body that loses bytes between its pieces, or is sent as one. */
  @ParameterizedTest
  @ValueSource(ints = {65_537, 131_072, 131_073, 4_194_304})
  void dividesLargeBodiesWithoutLoss(int size) throws Exception {
    byte[] body = new byte[size];
    new Random(size).nextBytes(body);
    assertThat(BodyPieces.isLarge(size)).isTrue();
    Eventloop.builder().withCurrentThread().build();
    var pieces = BodyPieces.of(body);
    ByteArrayOutputStream sent = new ByteArrayOutputStream();
    for (Promise<ByteBuf> p = pieces.get(); p.getResult() != null; p = pieces.get()) {
      assertThat(p.getResult().readRemaining()).isBetween(1, BodyPieces.PIECE_BYTES);
      sent.write(p.getResult().asArray());
    }
    assertThat(sent.toByteArray()).isEqualTo(body);
  }

  /** Guards against parts that are lost or end the body, such as empty ones. */
  @Test
  void sendsPartsInOrder() throws Exception {
    Eventloop.builder().withCurrentThread().build();
    var pieces = BodyPieces.ofParts(List.of(new byte[] {1, 2}, new byte[0], new byte[] {3}));
    assertThat(pieces.get().getResult().asArray()).containsExactly(1, 2);
    assertThat(pieces.get().getResult().asArray()).containsExactly(3);
    assertThat(pieces.get().getResult()).isNull();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 65_536})
  void leavesSmallBodiesWhole(int size) {
    assertThat(BodyPieces.isLarge(size)).isFalse();
  }
}
