package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.hibiscusreel.coordination.forward.BrittleSimulation.Fleet;
import org.hibiscusreel.coordination.forward.BrittleSimulation.Upstreams;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BrittleFleetTest {

  private static final int UPSTREAMS = 8;
  private static final long MILLIS = 15_000;

  /**
   * Guards against upstreams that end because daemons send them more than they have room for, while
   * there are half again as many requests as all can take and some reports are lost, and against
   * daemons that leave most of the room unused.
   */
  @ParameterizedTest
  @CsvSource({
    "2,0,2",
    "2,0.2,1",
    "2,1,2",
    "8,0,2",
    "8,0.2,2",
    "8,0.2,0",
    "8,1,1",
    "16,0.1,3",
    "40,0.1,3",
    "40,1,1",
    "40,0.2,0"
  })
  void keepsUpstreamsFromEnding(int daemons, double lossShare, int tolerance) {
    play(
        new Fleet(daemons, lossShare, false),
        new Upstreams(UPSTREAMS, 6, 6, 300, tolerance),
        1.5,
        0.5);
  }

  /** Guards against upstreams that end because most of the requests come to one daemon. */
  @ParameterizedTest
  @CsvSource({"8,0.2,2", "8,0.2,1", "16,0.1,3"})
  void keepsUpstreamsFromEndingWhenDemandIsUneven(int daemons, double lossShare, int tolerance) {
    play(
        new Fleet(daemons, lossShare, true),
        new Upstreams(UPSTREAMS, 6, 6, 300, tolerance),
        1.5,
        0.5);
  }

  /** Guards against upstreams that end because their memory has less room than their slots. */
  @ParameterizedTest
  @CsvSource({
    "2,5,1.5",
    "8,5,1.5",
    "16,5,1.5",
    "40,5,1.5",
    "8,5,4",
    "8,2,1.5",
    "16,2,0.7",
    "2,1,4"
  })
  void keepsUpstreamsOfUnknownRoomFromEnding(int daemons, int tolerance, double load) {
    playWithUnknownRoom(daemons, tolerance, load);
  }

  /** As above, with upstreams that survive no rejection and several daemons. */
  @ParameterizedTest
  @CsvSource({"2,0,1.5", "8,0,1.5", "16,0,0.7", "40,0,0.7"})
  void keepsUpstreamsOfUnknownRoomThatSurviveNoRejection(int daemons, int tolerance, double load) {
    playWithUnknownRoom(daemons, tolerance, load);
  }

  private static void playWithUnknownRoom(int daemons, int tolerance, double load) {
    play(
        new Fleet(daemons, 0.1, false),
        new Upstreams(UPSTREAMS, 64, 40, 700, tolerance),
        load,
        0.5 * Math.min(1, load));
  }

  private static void play(Fleet fleet, Upstreams kind, double load, double leastServed) {
    long first = Long.getLong("brittle.seed", 1);
    for (long seed = first; seed < first + Integer.getInteger("brittle.seeds", 2); seed++) {
      BrittleSimulation s = new BrittleSimulation(new Random(seed), fleet, kind);
      s.run(MILLIS, load * kind.perSecond());
      double seconds = (MILLIS - BrittleSimulation.CONTACT_MILLIS) / 1_000.0;
      double served = s.servedInContact() / (kind.perSecond() * seconds);
      String run = "seed " + seed + ", served " + served;
      assertThat(s.falls()).as(run).isLessThanOrEqualTo(2 + kind.count() / 10);
      assertThat(served).as(run).isGreaterThan(leastServed);
    }
  }
}
