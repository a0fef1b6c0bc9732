package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class MessageHeadTest {

  private static MessageHead.State add(MessageHead head, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    return head.add(bytes, 0, bytes.length);
  }

  @Test
  void rewritesOnlyHostAndTheFirstRemovedField() {
    MessageHead head = new MessageHead(1_000);
    assertThat(add(head, "POST /x HTTP/1.1\r\nhost: relay\r\nGone: 1\r\nKept:  a: b \r\n\r"))
        .isEqualTo(MessageHead.State.INCOMPLETE);
    assertThat(add(head, "\nbody")).isEqualTo(MessageHead.State.COMPLETE);
    assertThat(new String(head.rewrite("gone", "up:1"), StandardCharsets.ISO_8859_1))
        .isEqualTo("POST /x HTTP/1.1\r\nHost: up:1\r\nKept:  a: b \r\n\r\n");
    assertThat(head.rest()).isEqualTo("body".getBytes(StandardCharsets.ISO_8859_1));
    assertThat(head.find("kept")).contains("a: b");
  }

  @Test
  void readsStatusAndLimitsSize() {
    MessageHead head = new MessageHead(30);
    assertThat(add(head, "HTTP/1.1 503 No\r\n\r\n")).isEqualTo(MessageHead.State.COMPLETE);
    assertThat(head.status()).isEqualTo(503);
    assertThat(add(new MessageHead(30), "x".repeat(31))).isEqualTo(MessageHead.State.TOO_LARGE);
  }
}
