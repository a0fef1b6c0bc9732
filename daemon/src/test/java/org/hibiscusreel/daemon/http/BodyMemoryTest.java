package org.hibiscusreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BodyMemoryTest {

  /** Guards against a sender that takes the memory of all others, and against memory for no one. */
  @ParameterizedTest
  @CsvSource({
    // sender and bytes of the second body, whether there is room for it
    "a, 20, true",
    "a, 21, false",
    "b, 60, true",
    "b, 61, false"
  })
  void limitsSendersAndAllTogether(String sender, long bytes, boolean hasRoom) {
    BodyMemory memory = new BodyMemory(100, 60, 0);
    BodyMemory.Lease first = memory.lease("a");
    assertThat(first.grow(40)).isTrue();
    BodyMemory.Lease second = memory.lease(sender);
    assertThat(second.grow(bytes)).isEqualTo(hasRoom);
    assertThat(memory.usedBytes()).isEqualTo(hasRoom ? 40 + bytes : 40);
    first.release();
    first.release();
    second.release();
    assertThat(memory.usedBytes()).isZero();
    assertThat(memory.lease("a").hasRoom(60)).isTrue();
  }

  /** Guards against large bodies that leave no memory to small ones. */
  @ParameterizedTest
  @CsvSource({
    // bytes of a body, bytes of the next one, whether there is room for that
    "600000, 300000, true",
    "600000, 300001, false",
    "900000, 65536, true",
    "900000, 65537, false"
  })
  void leavesPartToSmallBodies(long bytes, long nextBytes, boolean hasRoom) {
    BodyMemory memory = new BodyMemory(1_000_000, 1_000_000, 100_000);
    assertThat(memory.lease("a").grow(bytes)).isTrue();
    assertThat(memory.lease("b").grow(nextBytes)).isEqualTo(hasRoom);
  }
}
