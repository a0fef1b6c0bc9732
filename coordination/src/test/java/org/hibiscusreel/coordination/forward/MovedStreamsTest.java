package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests at an upstream that is silent, which are sent to another one as well. */
class MovedStreamsTest {

  private static final int EVENTS = 12;

  /** Time after the first event after which a stream is sent to another upstream as well. */
  private static final long MOVE_MILLIS = 600;

  /**
   * Lets the next upstream answer with a status, a content type or an outcome, or begin a stream
   * that can't be used.
   */
  private static void answer(String next, ForwardHarness.Sent sent) {
    if (next.startsWith("begun ")) {
      sent.head(200);
      switch (next) {
        case "begun unnamed" -> sent.bytes("data: internal error\n\n");
        case "begun repeated" -> {
          sent.event(1);
          sent.listener.onEnd();
        }
        default -> sent.fail(AttemptOutcome.BROKEN);
      }
    } else if (next.matches("\\d+")) {
      sent.respond(Integer.parseInt(next), "");
    } else if (next.contains("/")) {
      sent.listener.onHead(200, List.of(new HeaderField("Content-Type", next)));
    } else {
      sent.fail(AttemptOutcome.valueOf(next));
    }
  }

  private static ForwardHarness streamAtSilentUpstream(int maxAttempts, int upstreams) {
    ForwardHarness h = new ForwardHarness(RetryPolicy.RESUMABLE, true, maxAttempts, upstreams);
    h.serve(ForwardHarness.prompt(100, 50));
    h.last().head(200);
    h.last().event(1);
    return h;
  }

  /** Guards against a stream that is cut since it left a sound upstream that goes on. */
  @ParameterizedTest
  @CsvSource({
    "NOT_EXECUTED, 2",
    "NOT_SENT, 2",
    "BROKEN, 2",
    "500, 2",
    "404, 2",
    "text/plain, 2",
    "begun unnamed, 2",
    "begun repeated, 2",
    "begun broken, 2",
    "NOT_EXECUTED, 3",
    "BROKEN, 3"
  })
  void keepsStreamThatNoOtherUpstreamAccepts(String next, int maxAttempts) {
    ForwardHarness h = streamAtSilentUpstream(maxAttempts, 4);
    final ForwardHarness.Sent first = h.last();
    h.onSent = s -> h.scheduler.schedule(5, () -> answer(next, s));
    h.scheduler.run(1_500);
    assertThat(h.sent).hasSizeGreaterThan(1);
    first.event(2);
    first.listener.onEnd();
    assertThat(h.callerEvents).containsExactly("begin 200 u0", "id: 1", "id: 2", "end");
  }

  /** Guards against a repeatable request that fails although its silent upstream answers it. */
  @ParameterizedTest
  @CsvSource({"NOT_EXECUTED", "NOT_SENT", "BROKEN", "500"})
  void keepsRepeatableRequestThatNoOtherUpstreamAccepts(String next) {
    ForwardHarness h = new ForwardHarness(RetryPolicy.REPEATABLE, false, 2, 3);
    h.serve(ForwardHarness.plain("/a/x", "key"));
    final ForwardHarness.Sent first = h.last();
    h.onSent = s -> h.scheduler.schedule(5, () -> answer(next, s));
    h.scheduler.run(1_200);
    assertThat(h.sent).hasSizeGreaterThan(1);
    first.respond(200, "late");
    assertThat(h.callerEvents).containsExactly("200 late");
  }

  /** Guards against two upstreams that go on with one stream at the same time. */
  @ParameterizedTest
  @CsvSource({
    // head and event after, or 0; the earlier one goes on after, or 0; cancelled attempt, and after
    "20, 40, 0, 0, 40",
    "20, 0, 0, 0, 251",
    "0, 0, 0, 0, 251",
    "0, 0, 40, 1, 40",
    "100, 0, 40, 1, 40",
    "20, 60, 40, 1, 40",
    "20, 30, 40, 0, 30"
  })
  void endsOneOfTwoAttempts(
      long headMillis, long eventMillis, long goesOnMillis, int ended, long endedMillis) {
    ForwardHarness h = streamAtSilentUpstream(2, 2);
    while (h.sent.size() < 2) {
      h.scheduler.run(1);
    }
    if (headMillis > 0) {
      h.scheduler.schedule(headMillis, () -> head(h.sent.get(1)));
    }
    if (eventMillis > 0) {
      h.scheduler.schedule(eventMillis, () -> event(h.sent.get(1), 2));
    }
    if (goesOnMillis > 0) {
      h.scheduler.schedule(goesOnMillis, () -> event(h.sent.get(0), 2));
    }
    h.scheduler.run(endedMillis - 1);
    assertThat(h.sent).noneMatch(s -> s.cancelled);
    h.scheduler.run(1);
    assertThat(h.sent.get(ended).cancelled).isTrue();
    assertThat(h.sent.get(1 - ended).cancelled).isFalse();
  }

  /** Guards against an attempt that is given up for one that has reached no upstream. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void keepsAttemptUntilTheNextUpstreamIsReached(boolean isReached) {
    ForwardHarness h = streamAtSilentUpstream(2, 2);
    h.areUpstreamsReached = isReached;
    h.scheduler.run(MOVE_MILLIS + 2 * ForwardTask.ACCEPTANCE_MILLIS);
    assertThat(h.sent).hasSize(2);
    assertThat(h.sent.get(0).cancelled).isEqualTo(isReached);
  }

  private static void head(ForwardHarness.Sent sent) {
    if (!sent.cancelled) {
      sent.head(200);
    }
  }

  private static void event(ForwardHarness.Sent sent, int id) {
    if (!sent.cancelled) {
      sent.event(id);
    }
  }

  /**
   * Guards against streams that are cut while a sound upstream goes on with them, against events
   * that are lost or come twice, and against more upstreams at work than are allowed, whatever the
   * order of silences, refusals, accepts, failures and a stop.
   */
  @Property(tries = 300, seed = "20261206")
  void keepsStreamsOfSoundUpstreams(@ForAll long seed) {
    Random random = new Random(seed);
    final int maxAttempts = 2 + random.nextInt(2);
    final ForwardHarness h = new ForwardHarness(RetryPolicy.RESUMABLE, true, maxAttempts, 5);
    final List<Run> runs = new ArrayList<>();
    final AtomicInteger silences = new AtomicInteger();
    h.onSent = s -> runs.add(new Run(h, s, random, silences, runs.isEmpty()));
    h.serve(ForwardHarness.prompt(100, 50));
    for (int t = 0; t < ForwardHarness.TIMEOUT_MILLIS; t += 10) {
      h.scheduler.run(10);
      assertThat(runs.stream().filter(Run::isAtWork).count()).isLessThanOrEqualTo(2);
    }
    assertThat(runs.stream().filter(r -> r.isReached).count()).isLessThanOrEqualTo(maxAttempts);
    List<String> expected = new ArrayList<>(List.of("begin 200 u0"));
    IntStream.rangeClosed(1, EVENTS).forEach(i -> expected.add("id: " + i));
    expected.add("end");
    boolean areAllSound = runs.stream().allMatch(r -> r.isSound);
    if (areAllSound) {
      assertThat(h.callerEvents).isEqualTo(expected);
    } else {
      List<String> events = h.callerEvents.stream().filter(e -> e.startsWith("id: ")).toList();
      assertThat(events).isEqualTo(expected.subList(1, events.size() + 1));
    }
  }

  /** What one upstream does with the stream; a sound one may refuse it or be silent for a while. */
  private static final class Run {

    private final ForwardHarness harness;
    private final ForwardHarness.Sent sent;
    private final Random random;
    private final AtomicInteger silences;
    private final boolean isSound;
    private final int last;
    private final boolean isReached;
    private boolean hasRun;
    private boolean hasEnded;

    Run(
        ForwardHarness harness,
        ForwardHarness.Sent sent,
        Random random,
        AtomicInteger silences,
        boolean isFirst) {
      this.harness = harness;
      this.sent = sent;
      this.random = random;
      this.silences = silences;
      boolean isRefused = !isFirst && random.nextInt(2) == 0;
      this.isSound = isRefused || random.nextInt(6) > 0;
      this.last = isSound ? EVENTS : random.nextInt(EVENTS);
      String after = sent.request.resumeAfter();
      int next = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
      this.isReached = !isRefused || random.nextInt(3) > 0;
      if (isRefused) {
        AttemptOutcome outcome = isReached ? AttemptOutcome.NOT_EXECUTED : AttemptOutcome.NOT_SENT;
        later(random.nextInt(20), () -> end(() -> sent.fail(outcome)));
      } else {
        hasRun = true;
        later(
            2 + random.nextInt(40),
            () -> {
              sent.head(200);
              go(next);
            });
      }
    }

    boolean isAtWork() {
      return hasRun && !hasEnded && !sent.cancelled;
    }

    private void later(long millis, Runnable step) {
      harness.scheduler.schedule(
          millis,
          () -> {
            if (!hasEnded && !sent.cancelled) {
              step.run();
            }
          });
    }

    private void end(Runnable step) {
      hasEnded = true;
      step.run();
    }

    private void go(int next) {
      // The timeout of the route leaves room for one silence.
      boolean isSilent = random.nextInt(8) == 0 && silences.compareAndSet(0, 1);
      later(
          isSilent ? 400 + random.nextInt(500) : 10 + random.nextInt(30),
          () -> {
            if (next > last) {
              end(isSound ? sent.listener::onEnd : () -> sent.fail(AttemptOutcome.BROKEN));
            } else {
              sent.event(next);
              go(next + 1);
            }
          });
    }
  }
}
