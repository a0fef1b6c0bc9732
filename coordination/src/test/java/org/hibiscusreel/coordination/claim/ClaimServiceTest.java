package org.hibiscusreel.coordination.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.FakeTable.Fault;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.core.timeline.HybridClock;
import org.junit.jupiter.api.Test;

class ClaimServiceTest {

  private static final RequestKey KEY = new RequestKey("account", "request");

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final Random random = new Random(11);
  private final ClaimService claims = service("one");
  private final ClaimService others = service("two");

  private ClaimService service(String incarnation) {
    EventRecorder recorder =
        new EventRecorder(new HybridClock(scheduler::wallMillis), incarnation, e -> {});
    return new ClaimService(scheduler, table, recorder, random::nextLong, incarnation);
  }

  private ClaimResult claim(ClaimService service) {
    CompletableFuture<ClaimResult> result = service.claim(KEY, "print", 2_000);
    scheduler.run(2_500);
    return result.join();
  }

  private Claim held(ClaimService service) {
    return ((ClaimResult.Held) claim(service)).claim();
  }

  private ClaimState state() {
    return table.get(TableKeys.claim("account", "request"), ClaimRow.class).state();
  }

  /** Guards against two dispatches of one call. */
  @Test
  void onlyOneAttemptHoldsTheClaim() {
    CompletableFuture<ClaimResult> one = claims.claim(KEY, "print", 2_000);
    CompletableFuture<ClaimResult> two = others.claim(KEY, "print", 2_000);
    scheduler.run(100);
    assertThat(one.join()).isInstanceOf(ClaimResult.Held.class);
    assertThat(two.join()).isInstanceOf(ClaimResult.Taken.class);
    assertThat(claim(claims)).isInstanceOf(ClaimResult.Taken.class);
  }

  /** Guards against refusing a claim that this attempt holds although the response was lost. */
  @Test
  void resolvesLostResponsesByTheNonce() {
    table.failWrites(Fault.RESPONSE_LOST);
    Claim claim = held(claims);
    assertThat(claim.version()).isEqualTo(1);
    table.failWrites(Fault.RESPONSE_LOST);
    CompletableFuture<Boolean> withdrawn = claims.withdraw(claim);
    scheduler.run(1_000);
    assertThat(withdrawn.join()).isTrue();
    assertThat(held(others).version()).isEqualTo(3);
  }

  /** Guards against a claim write that takes effect late and blocks the request permanently. */
  @Test
  void withdrawsClaimsWithUndeterminedOutcome() {
    table.failWrites(Fault.APPLIED_LATE);
    CompletableFuture<ClaimResult> result = claims.claim(KEY, "print", 1);
    scheduler.run(50);
    assertThat(result.join()).isInstanceOf(ClaimResult.Undetermined.class);
    scheduler.run(10_000);
    assertThat(state()).isEqualTo(ClaimState.WITHDRAWN);
    assertThat(claim(others)).isInstanceOf(ClaimResult.Held.class);
  }

  /** Guards against reporting "not run" while a write may still take effect. */
  @Test
  void reportsUnavailableOnlyIfNothingWasWritten() {
    table.isDown = true;
    assertThat(claim(claims)).isInstanceOf(ClaimResult.Unavailable.class);
    table.isDown = false;
    scheduler.run(10_000);
    assertThat(table.all("claim/")).isEmpty();
  }

  /** Guards against losing the outcome of a call while the platform is down. */
  @Test
  void recordsTheOutcomeWhenThePlatformIsBack() {
    Claim claim = held(claims);
    table.isDown = true;
    claims.finish(claim, 200, "text/plain", new byte[] {65});
    scheduler.run(30_000);
    table.isDown = false;
    table.failWrites(Fault.RESPONSE_LOST);
    CompletableFuture<Void> stopped = claims.stop();
    scheduler.run(10_000);
    assertThat(stopped).isCompleted();
    CompletableFuture<Claims.LookUp> found = others.lookUp(KEY);
    scheduler.run(100);
    assertThat(((Claims.LookUp.Known) found.join()).row())
        .hasValueSatisfying(
            row -> {
              assertThat(row.state()).isEqualTo(ClaimState.FINISHED);
              assertThat(row.body()).isEqualTo("QQ==");
            });
    assertThat(claim(others)).isInstanceOf(ClaimResult.Taken.class);
  }
}
