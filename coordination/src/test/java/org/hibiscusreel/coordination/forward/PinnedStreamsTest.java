package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Streams of a service whose upstreams run several versions of their software. */
class PinnedStreamsTest {

  private static final List<HeaderField> EVENT_STREAM =
      List.of(new HeaderField("Content-Type", "text/event-stream"));

  private final ForwardHarness harness = new ForwardHarness(RetryPolicy.RESUMABLE, true, 3, 0);

  private void list(String id, String version) {
    list(id, version, 0);
  }

  private void list(String id, String version, long startedAtMillis) {
    harness.upstreams.put(
        new UpstreamEntry(id, "s", "127.0.0.1:1", "here", false, 4, version, startedAtMillis));
  }

  private static byte[] event(int id) {
    return ("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private void beginStream() {
    harness.serve(ForwardHarness.prompt("p"));
    harness.last().listener.onHead(200, EVENT_STREAM);
    harness.last().listener.onBytes(event(1));
  }

  /** Takes up a stream that a request of a caller began. */
  private void takeUp(String firstRequest) {
    CallerRequest r = ForwardHarness.prompt("p");
    harness.serve(
        new CallerRequest(
            "id3",
            r.method(),
            r.host(),
            r.target(),
            r.path(),
            r.key(),
            r.deadlineMillis(),
            r.prompt(),
            r.fields(),
            r.body(),
            Optional.of(new CallerRequest.Resumption(Optional.ofNullable(firstRequest))),
            Optional.empty()));
    harness.scheduler.run(ForwardTask.ORIGIN_TIMEOUT_MILLIS);
  }

  /** Guards against events of two versions in one response. */
  @ParameterizedTest
  @CsvSource({"v1, v2, v1, u2", "v1, v2, v3, ", "v1, v1, v2, u1"})
  void goesOnOnlyAtTheVersionThatBeganTheStream(
      String begun, String second, String third, String expected) {
    list("u0", begun);
    beginStream();
    list("u1", second);
    list("u2", third);
    harness.last().listener.onFailure(AttemptOutcome.BROKEN, "reset");
    harness.scheduler.run(500);
    if (expected == null) {
      assertThat(harness.sent).hasSize(1);
      assertThat(harness.callerEvents).endsWith("abort");
    } else {
      assertThat(harness.last().upstream.id()).isEqualTo(expected);
      assertThat(harness.last().request.resumeAfter()).isEqualTo("1");
    }
  }

  /**
   * Guards against a stream that a caller takes up at another version than the one that began it.
   */
  @ParameterizedTest
  @CsvSource({
    "id2, v1, v1, v2, v1",
    "id2, v1, v2, v3, ",
    "id9, v1, v1, v2, ",
    ", v1, v1, v2, ",
    "id9, v1, v1, v1, v1",
    ", v1, v1, v1, v1"
  })
  void takesUpStreamOnlyAtTheVersionThatBeganIt(
      String named, String begun, String first, String second, String expected) {
    harness.origins.onBegun("id2", new StreamOrigin("s", begun));
    harness.origins.start();
    list("u0", first);
    list("u1", second);
    harness.scheduler.run(1_000);
    takeUp(named);
    if (expected == null) {
      assertThat(harness.sent).isEmpty();
      assertThat(harness.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
      assertThat(harness.refusal.retryAfterMillis()).isZero();
    } else {
      assertThat(harness.last().upstream.softwareVersion()).isEqualTo(expected);
    }
  }

  /**
   * Guards against a stream that is refused although another daemon has told of an upstream that
   * can go on with it, and against the use of what only others tell while the store can be asked.
   */
  @ParameterizedTest
  @CsvSource({"false, v2, u1", "false, v3, ", "true, v2, "})
  void goesOnAtUpstreamThatAnotherDaemonReported(
      boolean isStoreReachable, String reportedVersion, String expected) {
    harness.origins.start();
    list("u0", "v1");
    harness.isStoreReachable = isStoreReachable;
    harness
        .streamReceivers
        .get("d")
        .accept(
            new StreamReport(
                List.of(new StreamReport.Streams(new StreamOrigin("s", "v2"), List.of("id2"))),
                List.of(
                    new UpstreamEntry(
                        "u1", "s", "127.0.0.1:2", "here", false, 4, reportedVersion, 7))));
    takeUp("id2");
    if (expected == null) {
      assertThat(harness.sent).isEmpty();
      assertThat(harness.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
    } else {
      assertThat(harness.last().upstream.id()).isEqualTo(expected);
    }
  }

  /**
   * Guards against a stream that goes on at a service to which its route no longer leads, or at
   * another one than its own.
   */
  @ParameterizedTest
  @CsvSource({
    "t, true, ",
    "'t,s', true, u0",
    "t s, true, u0",
    "'', true, ",
    "t, false, ",
    "'t,s', false, u0"
  })
  void goesOnAtItsOwnServiceIfTheRouteLeadsThere(
      String configurations, boolean isKnownBefore, String expected) {
    list("u0", "v1");
    harness.upstreams.put(new UpstreamEntry("u1", "t", "127.0.0.1:2", "here", false, 4, "v1", 0));
    harness.origins.onBegun("id2", new StreamOrigin("s", "v1"));
    harness.origins.start();
    harness.scheduler.run(1_000);
    Runnable move =
        () -> {
          for (String c : configurations.split(",", -1)) {
            harness.lead(c.isEmpty() ? new String[0] : c.split(" ", -1));
          }
        };
    if (isKnownBefore) {
      move.run();
    } else {
      harness.onConfigurationCatchUp = move;
    }
    takeUp(isKnownBefore ? "id2" : "id9");
    if (expected == null || !isKnownBefore) {
      assertThat(harness.sent).isEmpty();
      assertThat(harness.refusal.kind()).isIn(Refusal.Kind.NOT_RUN, Refusal.Kind.NO_ROUTE);
    } else {
      assertThat(harness.last().upstream.id()).isEqualTo(expected);
    }
  }

  /**
   * Guards against streams that all begin at the upstreams of one version, beyond their slots,
   * while those of another version are idle, since the store takes no writes.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "true, false", "false, true"})
  void beginsStreamsAtAllUpstreamsWhileNoVersionCanBeRecorded(boolean isDown, boolean hasEarlier) {
    if (hasEarlier) {
      list("u0", "v1");
    }
    harness.origins.start();
    harness.scheduler.run(20_000);
    harness.table.isDown = isDown;
    if (!hasEarlier) {
      list("u0", "v1");
    }
    list("u1", "v2");
    harness.scheduler.run(1_000);
    for (int i = 0; i < 8; i++) {
      harness.serve(ForwardHarness.plain("/a/" + i, "key"));
    }
    assertThat(harness.sent).hasSize(8);
    assertThat(harness.sent.stream().filter(s -> s.upstream.id().equals("u1")).count())
        .isBetween(3L, 5L);
  }

  /**
   * Guards against a stream that begins at a version of which no other host could learn if this one
   * ended now, and against a request that is refused because no version is recorded.
   */
  @ParameterizedTest
  @CsvSource({"true, 0, u0", "true, 1000, u1", "false, 0, u1"})
  void beginsStreamsAtRecordedVersions(boolean hasEarlier, long millis, String expected) {
    if (hasEarlier) {
      list("u0", "v1");
    }
    harness.origins.start();
    harness.scheduler.run(20_000);
    harness.serve(ForwardHarness.prompt("p"));
    list("u1", "v2");
    harness.scheduler.run(millis);
    harness.serve(ForwardHarness.prompt("q"));
    assertThat(harness.last().upstream.id()).isEqualTo(expected);
  }

  /** Guards against a final refusal by a daemon that does not know the upstreams of now. */
  @ParameterizedTest
  @CsvSource({"true, 0", "false, 400"})
  void namesTimeToComeBackWhileUpstreamsAreNotKnown(boolean isStoreReachable, long retryMillis) {
    harness.origins.onBegun("id2", new StreamOrigin("s", "v2"));
    list("u0", "v1");
    harness.isStoreReachable = isStoreReachable;
    takeUp("id2");
    assertThat(harness.sent).isEmpty();
    assertThat(harness.refusal.kind()).isEqualTo(Refusal.Kind.NOT_RUN);
    assertThat(harness.refusal.retryAfterMillis()).isEqualTo(retryMillis);
  }

  /** Guards against a chain of take-ups whose later ones name the first request. */
  @Test
  void recordsTheStreamUnderTheRequestThatBroughtItsFirstEvent() {
    list("u0", "v1");
    beginStream();
    list("u1", "v2");
    harness.last().listener.onFailure(AttemptOutcome.BROKEN, "reset");
    harness.scheduler.run(100);
    harness.upstreams.drop("u0");
    list("u2", "v1");
    takeUp("id2");
    assertThat(harness.last().upstream.id()).isEqualTo("u2");
    harness.last().listener.onFailure(AttemptOutcome.NOT_SENT, "refused");
    takeUp("id2");
    assertThat(harness.last().upstream.id()).isEqualTo("u2");
  }

  /** Guards against a first event that is taken for one of an instance that started later. */
  @Test
  void doesNotGoOnIfAnotherInstanceStartedBeforeTheFirstEventWasRead() {
    list("u0", "v1", 1);
    harness.serve(ForwardHarness.prompt("p"));
    list("u0", "v2", 5);
    list("u1", "v2", 1);
    list("u2", "v1", 1);
    harness.last().listener.onHead(200, EVENT_STREAM);
    harness.last().listener.onBytes(event(1));
    harness.last().listener.onFailure(AttemptOutcome.BROKEN, "reset");
    harness.scheduler.run(500);
    assertThat(harness.sent).hasSize(1);
    assertThat(harness.callerEvents).endsWith("abort");
  }

  /** Guards against a stream that breaks off since an upstream joined only lately. */
  @Test
  void looksForUpstreamsOfNowBeforeStreamBreaksOff() {
    list("u0", "v1");
    beginStream();
    list("u1", "v2");
    harness.onCatchUp = () -> list("u2", "v1");
    harness.last().listener.onFailure(AttemptOutcome.BROKEN, "reset");
    harness.scheduler.run(500);
    assertThat(harness.last().upstream.id()).isEqualTo("u2");
  }

  /** Guards against an upstream that has started at another version under its old identity. */
  @Test
  void dropsContinuationOfAnotherInstance() {
    list("u0", "v1");
    beginStream();
    list("u1", "v1", 5);
    harness.last().listener.onFailure(AttemptOutcome.BROKEN, "reset");
    harness.scheduler.run(100);
    assertThat(harness.last().upstream.id()).isEqualTo("u1");
    list("u1", "v2", 9);
    harness.last().listener.onHead(200, EVENT_STREAM);
    harness.last().listener.onBytes(event(2));
    harness.scheduler.run(100);
    assertThat(harness.callerEvents).doesNotContain("id: 2").endsWith("abort");
  }
}
