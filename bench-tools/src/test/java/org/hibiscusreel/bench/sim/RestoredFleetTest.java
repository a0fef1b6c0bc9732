package org.hibiscusreel.bench.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.FleetFollower;
import org.hibiscusreel.coordination.forward.RowValue;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.UpstreamEntry;

/** Simulates a daemon that follows a store which is restored from older copies. */
class RestoredFleetTest {

  /** Longest time that a configuration may take to be in force, set by the operators. */
  private static final long CONFIGURATION_BOUND_MILLIS = 2_000;

  /** Time after the return of the store in which running upstreams are listed again. */
  private static final long RELISTED_MILLIS = 2_000;

  private static final long STEP_MILLIS = 50;

  /**
   * Guards against a daemon that learns of no change after the store was restored, goes back to an
   * older configuration, or sends requests to an upstream that had left before.
   */
  @Property(tries = 100, seed = "20261206")
  void followsChangesAfterRestoration(@ForAll long seed) {
    new Day(new Random(seed)).play();
  }

  /** One simulated day. */
  private static final class Day {

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final RestorableStore store;
    private final List<Long> versions = new ArrayList<>();
    private final FleetFollower follower;
    private long newest;

    private Day(Random random) {
      this.random = random;
      this.store = new RestorableStore(time, random);
      SimulatedProcess process = new SimulatedProcess(time);
      RestorableStore.Client client = store.client(process, true);
      this.follower =
          new FleetFollower(
              client,
              client,
              process,
              "h",
              new FleetFollower.HostRow("h.1", "127.0.0.1:7"),
              new FleetFollower.RowFormat(
                  "op",
                  "upstreams",
                  c -> RowValue.parse(c.value(), v -> configuration(Long.parseLong(v))),
                  c -> RowValue.parse(c.value(), v -> entry(c.key(), v))),
              (e, f) -> {},
              new FleetFollower.Listener() {
                @Override
                public void onConfiguration(ForwardingTable table) {
                  versions.add(table.version());
                }

                @Override
                public void onUpstreamsRemoved(List<String> ids) {}

                @Override
                public void onPeers(List<String> addresses) {}
              });
    }

    private static ForwardingTable configuration(long version) {
      return new ForwardingTable(
          version, new CallerLimits(1, 1, 1), List.of(), List.of(), List.of(), Map.of());
    }

    private static UpstreamEntry entry(String id, String state) {
      return new UpstreamEntry(id, "s", "127.0.0.1:8", "d", state.equals("leaving"), 1, 0);
    }

    private void write(String table, String key, String value) {
      store.write(table + "//" + key, Optional.ofNullable(value));
    }

    private void configure() {
      newest += 1 + random.nextInt(3);
      write("op", "config", Long.toString(newest));
    }

    private void run(long millis) {
      time.runUntil(time.nowMillis() + millis);
    }

    private List<String> usable() {
      return follower.upstreams().usable("s", time.nowMillis()).stream()
          .map(UpstreamEntry::id)
          .toList();
    }

    private void play() {
      configure();
      write("upstreams", "stays", "ready");
      write("upstreams", "leaves", "ready");
      write("upstreams", "ends", "ready");
      follower.start();
      run(3_000);
      final long ageMillis = 1_500L + random.nextInt(8_000);
      for (long t = 0; t < 12_000 - ageMillis; t += STEP_MILLIS) {
        change();
      }
      // All that follows is younger than the copy.
      run(STEP_MILLIS);
      configure();
      write("upstreams", "leaves", "leaving");
      write("upstreams", "ends", null);
      write("upstreams", "starts", "ready");
      for (long t = 0; t < ageMillis - 500; t += STEP_MILLIS) {
        change();
      }
      run(200);
      assertThat(usable()).contains("stays", "starts").doesNotContain("leaves", "ends");
      store.setDown(true);
      run(50L + random.nextInt(2_500));
      store.restore(time.nowMillis() - 12_000 - 3_000 + ageMillis);
      store.setDown(false);
      final long rewrittenAt = time.nowMillis() + random.nextInt(1_500);
      final long endedAt = time.nowMillis() + 3_600;
      final int changes = random.nextInt(4);
      boolean isRewritten = false;
      while (time.nowMillis() < endedAt) {
        if (!isRewritten && time.nowMillis() >= rewrittenAt) {
          isRewritten = true;
          write("upstreams", "starts", "ready");
          write("op", "config", Long.toString(newest));
        }
        if (changes > 0) {
          change();
        } else {
          run(STEP_MILLIS);
        }
        assertThat(usable()).contains("stays").doesNotContain("leaves", "ends");
      }
      write("upstreams", "leaves", null);
      write("upstreams", "ends", null);
      configure();
      run(CONFIGURATION_BOUND_MILLIS);
      assertThat(versions).isSorted().endsWith(newest);
      run(RELISTED_MILLIS);
      assertThat(usable()).containsExactlyInAnyOrder("stays", "starts");
    }

    /** Writes rows of other tables, and at times a configuration. */
    private void change() {
      write("other", "row", "x");
      if (random.nextInt(100) == 0) {
        configure();
      }
      run(STEP_MILLIS);
    }
  }
}
