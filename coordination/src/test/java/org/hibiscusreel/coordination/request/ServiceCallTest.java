package org.hibiscusreel.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.claim.ClaimResult;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.PlainServiceClient.Result;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceCallTest {
  private static final byte[] BODY = "ok".getBytes(StandardCharsets.UTF_8);
  private static final RequestKey KEY = new RequestKey("acc", "q");

  private final RequestHarness harness = new RequestHarness();

  @BeforeEach
  void start() {
    harness.start(2);
    harness.claimResult =
        new ClaimResult.Held(new Claim(KEY, "nonce", RequestHarness.FINGERPRINT, 1));
  }

  private void assertFailed(ServiceOutcome outcome, ProblemCode code, Ran ran) {
    ServiceOutcome.Failed f = (ServiceOutcome.Failed) outcome;
    assertThat(f.problem().code()).isEqualTo(code);
    assertThat(f.problem().ran()).isEqualTo(ran);
    assertThat(harness.bills).isEmpty();
    assertThat(harness.service.inProgress()).isZero();
  }

  private static ClaimRow row(ClaimState state, String fingerprint, int status) {
    String body = Base64.getEncoder().encodeToString(BODY);
    return new ClaimRow("other.1", "n", state, fingerprint, status, "text/plain", body, 0);
  }

  /** Guards against a non-repeatable call whose outcome or bill is not stored. */
  @Test
  void claimsBeforeItSendsAndRecordsTheOutcome() {
    harness.serviceResult = new Result.Responded(201, "text/plain", BODY);
    ServiceOutcome.Answered a = (ServiceOutcome.Answered) harness.callMethod("q", "sign");
    assertThat(a.status()).isEqualTo(201);
    assertThat(harness.claimCalls).containsExactly("claim", "finish 201");
    assertThat(harness.serviceCalls).hasSize(1);
    assertThat(harness.bills).extracting(Bill::tokens).containsExactly(50L);
  }

  /** Guards against a second execution or a refund while the outcome is unknown. */
  @Test
  void doesNotRetryAfterAnUnknownOutcome() {
    harness.serviceResult = new Result.Unknown("timeout");
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN);
    assertThat(harness.serviceCalls).hasSize(1);
    assertThat(harness.closedReservations).isEmpty();
    assertThat(harness.service.unresolvedCalls()).isEqualTo(1);
    harness.claimLookUp =
        Optional.of(
            new Claims.LookUp.Known(
                Optional.of(row(ClaimState.FINISHED, RequestHarness.FINGERPRINT, 200))));
    harness.scheduler.run(60_000);
    assertThat(harness.bills).hasSize(1);
    assertThat(harness.service.unresolvedCalls()).isZero();
  }

  /** Guards against reporting "not run" without a committed withdrawal. */
  @Test
  void reportsNotRunOnlyAfterCommittedWithdrawal() {
    harness.serviceResult = new Result.NotSent("refused");
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.NO_UPSTREAM, Ran.NO);
    assertThat(harness.claimCalls).containsExactly("claim", "withdraw");
    harness.withdrawalCommitted = false;
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN);
    harness.claimResult = new ClaimResult.Unavailable("cut off");
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.CLAIM_UNAVAILABLE, Ran.NO);
    harness.claimResult = new ClaimResult.Undetermined("lost");
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN);
    assertThat(harness.serviceCalls).hasSize(2);
    assertThat(harness.closedReservations.values()).containsOnly(0L).hasSize(4);
  }

  /**
   * Guards against a second execution by a retry, and against a retry that receives a different
   * response.
   */
  @Test
  void respondsToRetriesFromTheClaim() {
    harness.claimResult =
        new ClaimResult.Taken(row(ClaimState.FINISHED, RequestHarness.FINGERPRINT, 201));
    ServiceOutcome.Answered a = (ServiceOutcome.Answered) harness.callMethod("q", "sign");
    assertThat(a.body()).isEqualTo(BODY);
    assertThat(harness.bills).hasSize(1);
    harness.bills.clear();
    harness.claimResult = new ClaimResult.Taken(row(ClaimState.FINISHED, "cd".repeat(32), 201));
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.IDEMPOTENCY_KEY_REUSED, Ran.NO);
    harness.claimResult =
        new ClaimResult.Taken(row(ClaimState.CLAIMED, RequestHarness.FINGERPRINT, 0));
    assertFailed(harness.callMethod("q", "sign"), ProblemCode.IN_PROGRESS, Ran.UNKNOWN);
    assertThat(harness.serviceCalls).isEmpty();
  }

  /** Guards against failing a repeatable call that another instance can serve. */
  @Test
  void retriesRepeatableCallsOnceAtAnotherInstance() {
    harness.serviceResult = new Result.Unknown("timeout");
    assertFailed(harness.callMethod("q", "list"), ProblemCode.OUTCOME_UNKNOWN, Ran.UNKNOWN);
    assertThat(harness.serviceCalls).containsExactlyInAnyOrder("s1", "s2");
    harness.serviceCalls.clear();
    harness.serviceResult = new Result.NotSent("refused");
    assertFailed(harness.callMethod("r", "list"), ProblemCode.NO_UPSTREAM, Ran.NO);
    assertThat(harness.serviceCalls).containsExactlyInAnyOrder("s1", "s2");
    assertThat(harness.claimCalls).isEmpty();
  }

  /** Guards against charging for failures of the service. */
  @Test
  void billsRepeatableCallsThatSucceed() {
    harness.serviceResult = new Result.Responded(500, "", BODY);
    assertThat(harness.callMethod("q", "list")).isInstanceOf(ServiceOutcome.Answered.class);
    assertThat(harness.bills).isEmpty();
    harness.serviceResult = new Result.Responded(200, "", BODY);
    harness.callMethod("r", "list");
    assertThat(harness.bills).extracting(Bill::tokens).containsExactly(5L);
    assertFailedUnknownMethod();
  }

  private void assertFailedUnknownMethod() {
    ServiceOutcome.Failed f = (ServiceOutcome.Failed) harness.callMethod("s", "nothing");
    assertThat(f.problem().code()).isEqualTo(ProblemCode.UNKNOWN_SERVICE);
  }

  private RequestStatus lookUp() {
    return harness.service.lookUp(KEY).join();
  }

  /** Guards against a reported status that the stored rows do not prove. */
  @Test
  void looksUpClaimsAndBills() {
    assertThat(lookUp().state()).isEqualTo("not_known");
    assertThat(lookUp().ran()).isEqualTo(Ran.UNKNOWN);
    String claim = TableKeys.claim("acc", "q");
    String json = Json.write(row(ClaimState.CLAIMED, RequestHarness.FINGERPRINT, 0));
    harness.rows.put(claim, new Row(claim, 1, json));
    assertThat(lookUp().ran()).isEqualTo(Ran.UNKNOWN);
    json = Json.write(row(ClaimState.WITHDRAWN, RequestHarness.FINGERPRINT, 0));
    harness.rows.put(claim, new Row(claim, 2, json));
    assertThat(lookUp().ran()).isEqualTo(Ran.NO);
    json = Json.write(row(ClaimState.FINISHED, RequestHarness.FINGERPRINT, 201));
    harness.rows.put(claim, new Row(claim, 3, json));
    assertThat(lookUp().ran()).isEqualTo(Ran.YES);
    assertThat(lookUp().status()).isEqualTo(201);
    assertThat(lookUp().body()).isEqualTo(BODY);
  }
}
