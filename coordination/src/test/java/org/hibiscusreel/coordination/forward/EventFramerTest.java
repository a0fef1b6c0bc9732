package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventFramerTest {

  private final List<String> events = new ArrayList<>();
  private final EventFramer framer =
      new EventFramer(
          (id, bytes) -> events.add(id + "|" + new String(bytes, StandardCharsets.UTF_8)));

  private void accept(String text) {
    framer.accept(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void passesOnCompleteEventsUnchanged() {
    accept("version: 3\nid: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n");
    assertThat(events)
        .containsExactly("7|version: 3\nid: 7\ndata: a\n\n", "8|id:8\r\ndata: b\r\n\r\n");
    assertThat(framer.hasPartialEvent()).isFalse();
  }

  @Test
  void assemblesAnEventFromPieces() {
    for (char c : "id: 1\ndata: a\n\n".toCharArray()) {
      accept(String.valueOf(c));
    }
    assertThat(events).containsExactly("1|id: 1\ndata: a\n\n");
  }

  /** Guards against passing on an incomplete event when an upstream stops in the middle of it. */
  @Test
  void holdsBackAnIncompleteEvent() {
    accept("id: 1\ndata: a\n\nid: 2\nda");
    assertThat(events).hasSize(1);
    assertThat(framer.hasPartialEvent()).isTrue();
  }
}
