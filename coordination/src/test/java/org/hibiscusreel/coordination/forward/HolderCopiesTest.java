package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HolderCopiesTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final List<HolderCopy> sent = new ArrayList<>();
  private final List<String> receivers = new ArrayList<>();
  private Consumer<HolderCopy> receiver;
  private final HolderCopies copies =
      new HolderCopies(
          scheduler,
          new HolderTransport() {
            @Override
            public void sendHolders(List<String> peers, List<HolderCopy> rows) {
              receivers.addAll(peers);
              sent.addAll(rows);
            }

            @Override
            public void receiveHolders(Consumer<HolderCopy> r) {
              receiver = r;
            }
          },
          "self");

  private static HolderCopy copy(long era, long version) {
    return new HolderCopy("acme", "h", era, version, era + "." + version);
  }

  /** Guards against an older row that replaces a newer one because its message came late. */
  @ParameterizedTest
  @CsvSource({"1, 5, 1, 6, 1.6", "1, 6, 1, 5, 1.6", "1, 9, 2, 3, 2.3", "2, 3, 1, 9, 2.3"})
  void keepsTheNewestRowOfEachHost(long era, long version, long era2, long version2, String row) {
    copies.start();
    receiver.accept(copy(era, version));
    receiver.accept(copy(era2, version2));
    assertThat(copies.all()).extracting(HolderCopy::row).containsExactly(row);
  }

  /** Guards against a row that only its own host knows because the message was lost. */
  @Test
  void sendsEachRowAtOnceAndOnceMore() {
    copies.onPeers(List.of("a", "b", "c", "d", "e", "f"));
    copies.publish(copy(1, 1));
    assertThat(sent).hasSize(1);
    copies.publish(copy(1, 2));
    scheduler.run(2 * HolderCopies.REPEAT_DELAY_MILLIS);
    assertThat(sent).containsExactly(copy(1, 1), copy(1, 2), copy(1, 2));
    assertThat(receivers).hasSize(3 * HolderCopies.KEEPERS);
  }
}
