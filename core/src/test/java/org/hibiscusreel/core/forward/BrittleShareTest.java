package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BrittleShareTest {

  /** Guards against shares that are more, or less, than the room of the upstream. */
  @ParameterizedTest
  @CsvSource({"6,1", "6,2", "6,8", "6,100", "64,10", "0,3"})
  void sharesAddUpToTheRoom(int requests, int daemons) {
    int sum =
        IntStream.range(0, daemons)
            .map(rank -> new BrittleShare(daemons, rank, true, 50).of(requests))
            .sum();
    assertThat(sum).isEqualTo(requests);
  }
}
