package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class StreamPositionTest {

  private static final List<HeaderField> STREAM =
      List.of(new HeaderField("Content-Type", "text/event-stream"));

  /** Guards against identifiers that are compared as text, where 10 comes before 9. */
  @Test
  void coversEventsUpToTheLastOne() {
    StreamPosition p = StreamPosition.start(STREAM).after("9").after("10").after("");
    assertThat(p.lastEventId()).isEqualTo("10");
    assertThat(p.covers("9")).isTrue();
    assertThat(p.covers("10")).isTrue();
    assertThat(p.covers("11")).isFalse();
    assertThat(p.covers("100")).isFalse();
  }

  /** Guards against an error text that is passed on as part of a stream. */
  @Test
  void isContinuedOnlyByResponsesOfItsContentType() {
    StreamPosition p = StreamPosition.start(STREAM);
    assertThat(p.isContinuedBy(List.of(new HeaderField("content-type", "TEXT/event-stream"))))
        .isTrue();
    assertThat(p.isContinuedBy(List.of(new HeaderField("Content-Type", "text/html")))).isFalse();
    assertThat(p.isContinuedBy(List.of())).isFalse();
    assertThat(StreamPosition.start(List.of()).isContinuedBy(List.of())).isTrue();
  }
}
