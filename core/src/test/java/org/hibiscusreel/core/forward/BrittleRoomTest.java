package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BrittleRoomTest {

  private static final BrittleShare ALONE = new BrittleShare(1, 0, true, 50);
  private static final BrittleUse FULL = new BrittleUse(11, 0, 10);
  private static final int TOLERANCE = 4;

  private final BrittleRoom room = new BrittleRoom();

  private boolean admits(int own, int others, long nowMillis) {
    return room.admits(new BrittleUse(own, others, 10), ALONE, TOLERANCE, 0, nowMillis);
  }

  /** Guards against more requests of all daemons than fit, and against room that none may use. */
  @ParameterizedTest
  @CsvSource({
    // The share of rank 0 of 4 daemons is 3 of 10 requests, that of rank 2 is 2.
    "2, 0, 0, 4, 1, true",
    "2, 0, 2, 4, 1, false",
    // The whole room is in use.
    "0, 10, 0, 4, 0, false",
    "1, 9, 0, 4, 0, false",
    // Beyond the share: only with luck, with half of the room free, and if rejections are safe.
    "3, 1, 0, 4, 0, true",
    "3, 1, 0, 4, 0.9, false",
    "3, 1, 0, 1, 0, false",
    "3, 2, 0, 4, 0, false"
  })
  void admitsWithinShareAndBeyondItWhileHalfIsFree(
      int own, int others, int rank, int tolerance, double draw, boolean isAdmitted) {
    BrittleUse use = new BrittleUse(own, others, 10);
    assertThat(room.admits(use, new BrittleShare(4, rank, true, 50), tolerance, draw, 0))
        .isEqualTo(isAdmitted);
    assertThat(room.admits(use, new BrittleShare(4, rank, false, 50), tolerance, draw, 0))
        .as("without reports of all others")
        .isEqualTo(isAdmitted && draw == 1);
  }

  /** Guards against several requests beyond the share before the others know of the first one. */
  @Test
  void usesFreeRoomOnlyOnceInTwoReports() {
    BrittleShare share = new BrittleShare(10, 9, true, 50);
    BrittleUse use = new BrittleUse(1, 0, 10);
    assertThat(room.admits(use, share, TOLERANCE, 0, 1_000)).isTrue();
    room.onSent(use, share, 1_000);
    assertThat(room.admits(use, share, TOLERANCE, 0, 1_099)).isFalse();
    assertThat(room.admits(use, share, TOLERANCE, 0, 1_100)).isTrue();
  }

  /** Guards against more than one rejection of a daemon in a second. */
  @Test
  void pausesAfterRejectionsForLongerEachTime() {
    long now = 0;
    for (long pause : new long[] {1_100, 2_200, 4_400, 4_400}) {
      room.onRejected(FULL, now);
      assertThat(admits(0, 0, now + pause - 1)).isFalse();
      now += pause;
      assertThat(admits(0, 0, now)).isTrue();
    }
    room.onRejected(FULL, now + BrittleRoom.MAX_HOLD_MILLIS + BrittleRoom.CAUTION_MILLIS);
    assertThat(room.remainingMillis(TOLERANCE, now + 9_400)).isEqualTo(1_100);
  }

  /** Guards against daemons that together cause as many rejections as are fatal. */
  @Test
  void pausesWhenOthersWereRejectedHalfAsOftenAsIsTolerated() {
    room.onOthersRejected(1, 10, 0);
    assertThat(admits(0, 0, 0)).isTrue();
    room.onOthersRejected(1, 10, 100);
    assertThat(admits(0, 0, 1_000)).isFalse();
    assertThat(admits(0, 0, 1_200)).isTrue();
  }

  /** Guards against a room that is filled again at once to where it was too small. */
  @Test
  void lowersTheBoundAfterRejectionsAndRaisesItSlowly() {
    room.onRejected(new BrittleUse(4, 5, 10), 0);
    assertThat(room.bound(0)).isEqualTo(7);
    assertThat(room.bound(2_000)).isEqualTo(10);
    room.onRejected(new BrittleUse(1, 0, 10), 2_000);
    assertThat(room.bound(2_000)).isEqualTo(5);
    room.onOthersRejected(1, 0, 2_000);
    assertThat(room.bound(2_000)).isEqualTo(1);
    assertThat(new BrittleRoom(room, 4_000).bound(4_000)).isEqualTo(4);
  }
}
