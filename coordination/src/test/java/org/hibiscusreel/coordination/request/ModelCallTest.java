package org.hibiscusreel.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.port.EngineFailure;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.coordination.request.RequestHarness.Answer;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ModelCallTest {
  private final RequestHarness harness = new RequestHarness();
  private final Answer answer = new Answer(false);

  @BeforeEach
  void start() {
    harness.start(3);
  }

  /** Guards against requests that stay counted or keep buffer space for bills after they ended. */
  @AfterEach
  void allResourcesAreReleased() {
    harness.scheduler.run(60_000);
    assertThat(harness.service.inProgress()).isZero();
    assertThat(harness.acquiredBills).isZero();
    assertThat(harness.bills.size() + harness.closedReservations.size())
        .isEqualTo((int) harness.countEvents("reserved"));
  }

  private void assertRefused(Answer a, ProblemCode code, Ran ran) {
    assertThat(a.end).isNull();
    assertThat(a.problem.code()).isEqualTo(code);
    assertThat(a.problem.ran()).isEqualTo(ran);
    assertThat(harness.bills).isEmpty();
  }

  /**
   * Guards against an answer without its end marker, and against a bill that differs from the
   * usage.
   */
  @Test
  void streamsCompleteAnswersAndBillsThemOnce() throws Exception {
    harness.submit("q", answer);
    harness.engines.last().pieces("né", "on");
    assertThat(answer.pieces).containsExactly("né", "on");
    harness.engines.last().end(2);
    harness.engines.last().end(2);
    byte[] bytes = "néon".getBytes(StandardCharsets.UTF_8);
    assertThat(answer.end.lengthBytes()).isEqualTo(bytes.length);
    assertThat(answer.end.sha256())
        .isEqualTo(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes)));
    assertThat(harness.bills).extracting(Bill::tokens).containsExactly(12L);
    assertThat(harness.outcomes).extracting(RequestOutcome::billedTokens).containsExactly(12L);
    assertThat(harness.countEvents("completed")).isEqualTo(1);
  }

  /**
   * Guards against lost and repeated chunks, and chunks of an earlier connection, after a
   * connection failure.
   */
  @Test
  void resumesByOffsetAtTheSameEngine() {
    harness.submit("q", answer);
    ScriptedEngines.Connection first = harness.engines.last();
    first.pieces("a", "b");
    first.breakOff();
    harness.scheduler.run(60);
    ScriptedEngines.Connection second = harness.engines.last();
    assertThat(second.engine).isEqualTo(first.engine);
    assertThat(second.streamId).isEqualTo(first.streamId);
    assertThat(second.offset).isEqualTo(2);
    first.pieces("x", "x", "late");
    second.listener.onPiece(1, "b");
    second.listener.onPiece(3, "d");
    second.listener.onPiece(2, "c");
    second.end(4);
    assertThat(answer.pieces).containsExactly("a", "b", "c", "d");
    assertThat(harness.bills).hasSize(1);
  }

  /** Guards against accepting an end marker although chunks are missing. */
  @Test
  void fetchesMissingChunksBeforeItCompletes() {
    harness.submit("q", answer);
    harness.engines.last().listener.onPiece(0, "a");
    harness.engines.last().listener.onPiece(2, "c");
    harness.engines.last().end(3);
    assertThat(answer.end).isNull();
    harness.scheduler.run(60);
    assertThat(harness.engines.last().offset).isEqualTo(1);
    harness.engines.last().pieces("b", "c");
    harness.engines.last().end(3);
    assertThat(answer.pieces).containsExactly("a", "b", "c");
    assertThat(answer.end).isNotNull();
  }

  /** Guards against mixing the answers of two engines after text was sent to the caller. */
  @Test
  void reportsIncompleteAnswersAfterTextWasSent() {
    harness.submit("q", answer);
    harness.engines.last().pieces("a");
    harness.engines.last().breakOff();
    harness.scheduler.run(60);
    harness.engines.last().loseStream();
    assertRefused(answer, ProblemCode.ANSWER_INCOMPLETE, Ran.YES);
    assertThat(harness.engines.connections).hasSize(2);
    assertThat(harness.closedReservations.values()).containsExactly(0L);
  }

  /** Guards against failing a request that can be restarted at another engine. */
  @Test
  void restartsAtAnotherEngineWhileNothingWasSent() {
    Answer completeAnswer = new Answer(true);
    harness.submit("q", completeAnswer);
    ScriptedEngines.Connection first = harness.engines.last();
    first.pieces("old");
    first.breakOff();
    harness.scheduler.run(60);
    harness.engines.last().loseStream();
    ScriptedEngines.Connection second = harness.engines.last();
    assertThat(second.engine).isNotEqualTo(first.engine);
    assertThat(second.streamId).isNotEqualTo(first.streamId);
    assertThat(completeAnswer.pieces).isEmpty();
    second.pieces("new");
    second.end(1);
    assertThat(completeAnswer.pieces).containsExactly("new");
    assertThat(harness.bills).hasSize(1);
    assertThat(harness.countEvents("retried")).isEqualTo(1);
  }

  /** Guards against reporting that a request may have run although every engine refused it. */
  @Test
  void reportsNotRunWhenAllEnginesRefuse() {
    harness.submit("q", answer);
    for (int i = 0; i < 3; i++) {
      harness.engines.last().refuse();
    }
    assertThat(harness.engines.connections)
        .extracting(c -> c.engine)
        .containsExactlyInAnyOrder("e1", "e2", "e3");
    assertRefused(answer, ProblemCode.OVERLOADED, Ran.NO);
    assertThat(answer.problem.retryAfterMillis()).hasValue(700);
  }

  /** Guards against reporting "not run" although an engine may have started the request. */
  @Test
  void reportsUnknownWhenAnEngineMayHaveRunIt() {
    harness.submit("q", answer);
    harness.engines.last().loseStream();
    harness.engines.last().refuse();
    harness.engines.last().refuse();
    assertRefused(answer, ProblemCode.OVERLOADED, Ran.UNKNOWN);
  }

  /** Guards against sending an invalid request to every engine. */
  @Test
  void doesNotRetryRejectedRequests() {
    harness.submit("q", answer);
    harness.engines.last().listener.onFailure(new EngineFailure.Rejected(400, "bad field"));
    assertRefused(answer, ProblemCode.MALFORMED_REQUEST, Ran.NO);
    assertThat(harness.engines.connections).hasSize(1);
  }

  /** Guards against a charge or a dispatch although the budget granted no tokens. */
  @Test
  void refusesRequestsWithoutReservation() {
    harness.reservationResult = new ReservationResult.Exhausted(3);
    harness.submit("q", answer);
    assertRefused(answer, ProblemCode.BUDGET_EXHAUSTED, Ran.NO);
    harness.reservationResult = new ReservationResult.Unavailable("cut off");
    Answer other = new Answer(false);
    harness.submit("r", other);
    assertRefused(other, ProblemCode.BUDGET_UNAVAILABLE, Ran.NO);
    assertThat(harness.engines.connections).isEmpty();
  }

  /**
   * Guards against two executions of one key at one daemon, and against more bills than the buffer
   * can hold.
   */
  @Test
  void checksBeforeAnythingIsReserved() {
    harness.submit("q", answer);
    Answer second = new Answer(false);
    harness.submit("q", second);
    assertRefused(second, ProblemCode.IN_PROGRESS, Ran.UNKNOWN);
    harness.hasBillingSpace = false;
    Answer third = new Answer(false);
    harness.submit("r", third);
    assertRefused(third, ProblemCode.BILLING_BACKLOG, Ran.NO);
    harness.service.stopAccepting();
    Answer fourth = new Answer(false);
    harness.submit("s", fourth);
    assertRefused(fourth, ProblemCode.SHUTTING_DOWN, Ran.NO);
    assertThat(harness.outcomes).extracting(RequestOutcome::worth).containsExactly(1.0, 1.0, 0.0);
    harness.engines.last().end(0);
    assertThat(answer.end).isNotNull();
  }

  /**
   * Guards against unbilled usage by callers that disconnect, and against charges without usage.
   */
  @Test
  void billsCancelledCallsByWhatWasGenerated() {
    ModelCall call = harness.submit("q", answer);
    harness.engines.last().pieces("a", "b");
    call.cancel();
    assertThat(harness.engines.last().cancelled).isTrue();
    harness.engines.usage.add(
        new UsageRecord(
            1, harness.engines.last().streamId, null, 10, 3, UsageRecord.State.CANCELLED));
    harness.scheduler.run(10_000);
    assertThat(harness.bills).extracting(Bill::tokens).containsExactly(13L);
    harness.submit("r", new Answer(false)).cancel();
    harness.scheduler.run(10_000);
    assertThat(harness.bills).hasSize(1);
    assertThat(harness.closedReservations.values()).containsExactly(0L);
    assertThat(answer.problem).isNull();
  }

  /** Guards against dispatching requests whose deadline passed while they waited for an engine. */
  @Test
  void dropsWaitingRequestsAtTheirDeadline() {
    harness.engineLimit = 1;
    harness.configure(1);
    harness.submit("q", answer);
    harness.engines.last().pieces("a");
    Answer waiting = new Answer(false);
    harness.submit("r", waiting);
    for (int i = 1; i < 12; i++) {
      harness.scheduler.run(1_000);
      harness.engines.last().listener.onPiece(i, "x");
    }
    assertRefused(waiting, ProblemCode.DEADLINE_EXCEEDED, Ran.NO);
    assertThat(harness.engines.connections).hasSize(1);
    harness.engines.last().end(12);
    assertThat(harness.bills).extracting(Bill::lateMillis).containsExactly(1_000L);
  }

  /** Guards against dispatching requests to leaving upstreams. */
  @Test
  void avoidsLeavingUpstreams() {
    harness.leaving.add("e1");
    harness.leaving.add("e2");
    for (int i = 0; i < 5; i++) {
      Answer a = new Answer(false);
      harness.submit("q" + i, a);
      assertThat(harness.engines.last().engine).isEqualTo("e3");
      harness.engines.last().end(0);
    }
    harness.leaving.add("e3");
    harness.submit("r", answer);
    assertThat(answer.problem.code()).isEqualTo(ProblemCode.NO_UPSTREAM);
  }

  /** Guards against a request that crashes all engines of the failure domain, one after another. */
  @Test
  void stopsAfterTwoCrashes() {
    harness.submit("q", answer);
    crashEngine();
    crashEngine();
    assertRefused(answer, ProblemCode.OVERLOADED, Ran.UNKNOWN);
    assertThat(harness.engines.connections).hasSize(2);
    harness.scheduler.run(2_000);
    Answer again = new Answer(false);
    harness.submit("q2", again);
    assertRefused(again, ProblemCode.REQUEST_CRASHES_UPSTREAMS, Ran.NO);
    assertThat(harness.countEvents("upstream_crashed")).isEqualTo(2);
  }

  /**
   * Guards against a second crash by a request that was known to be the only one on the crashed
   * engine.
   */
  @Test
  void stopsAfterOneCrashOfOnlyRequestOnEngine() {
    harness.engines.reportsOneRunningRequest = true;
    harness.submit("q", answer);
    harness.scheduler.run(1_500);
    harness.engines.last().loseStream();
    assertRefused(answer, ProblemCode.REQUEST_CRASHES_UPSTREAMS, Ran.UNKNOWN);
    assertThat(harness.engines.connections).hasSize(1);
  }

  private void crashEngine() {
    harness.scheduler.run(20);
    harness.engines.last().loseStream();
  }

  /** Guards against attributing a link failure to all engines to crashes caused by the requests. */
  @Test
  void doesNotCountLinkFailuresAsCrashes() {
    String[] fingerprints = {"aa".repeat(32), "bb".repeat(32), "cc".repeat(32)};
    for (String f : fingerprints) {
      harness.service.submit(RequestHarness.model(f, f), new Answer(false));
      harness.engines.last().pieces("x");
    }
    assertThat(harness.engines.connections)
        .extracting(c -> c.engine)
        .containsExactlyInAnyOrder("e1", "e2", "e3");
    List.copyOf(harness.engines.connections).forEach(ScriptedEngines.Connection::breakOff);
    for (int i = 0; i < 200; i++) {
      harness.scheduler.run(50);
      harness.engines.connections.stream()
          .filter(c -> c.offset > 0)
          .forEach(ScriptedEngines.Connection::refuse);
    }
    assertThat(harness.outcomes).hasSize(3);
    assertThat(harness.countEvents("upstream_crashed")).isZero();
  }

  /**
   * Guards against waiting indefinitely for a stalled engine, and against counting the stall as a
   * crash.
   */
  @Test
  void restartsAtAnotherEngineAfterStall() {
    harness.service.submit(withDeadline(60_000), answer);
    ScriptedEngines.Connection stalled = harness.engines.last();
    harness.scheduler.run(21_000);
    assertThat(stalled.cancelled).isTrue();
    assertThat(harness.engines.connections).hasSize(2);
    harness.engines.last().pieces("a");
    harness.engines.last().end(1);
    assertThat(answer.pieces).containsExactly("a");
    assertThat(harness.countEvents("upstream_crashed")).isZero();
  }

  private static ModelRequest withDeadline(long millis) {
    ModelRequest r = RequestHarness.model("q", RequestHarness.FINGERPRINT);
    return new ModelRequest(
        r.key(),
        r.model(),
        r.budget(),
        r.requestClass(),
        r.body(),
        r.promptBytes(),
        r.maxTokens(),
        r.prefixHashes(),
        r.fingerprint(),
        millis);
  }

  /** Guards against retries that multiply the load when engines fail. */
  @Test
  void limitsRetriesToTheRetryBudget() {
    int requests = 200;
    for (int i = 0; i < requests; i++) {
      harness.submit("q" + i, new Answer(false));
      int before;
      do {
        before = harness.engines.connections.size();
        harness.engines.last().refuse();
      } while (harness.engines.connections.size() > before);
    }
    assertThat(harness.engines.connections.size()).isBetween(requests, requests + 30);
  }
}
