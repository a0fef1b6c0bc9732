package org.hibiscusreel.coordination.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.RequestKey;

/**
 * Resources that one admitted request holds: limits, a reservation and buffer space for its bill.
 * Each is released exactly once.
 */
final class AdmittedRequest {
  /**
   * Immutable terms of a request.
   *
   * @param key key of the request
   * @param budget budget to charge
   * @param target model name, or {@code service/method}
   * @param model model name, or empty
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param worstCase tokens to reserve
   * @param worth worth of the request
   * @param priority priority at engines
   * @param deadlineMillis time from arrival to the deadline, in milliseconds
   */
  record Terms(
      RequestKey key,
      String budget,
      String target,
      String model,
      String fingerprint,
      long worstCase,
      double worth,
      int priority,
      long deadlineMillis) {}

  private final RequestContext context;
  private final Terms terms;
  private final long arrivalMillis;
  private final long arrivalWallMillis;
  private Reservation reservation;
  private boolean settled;
  private boolean ended;
  private long billedTokens;

  AdmittedRequest(RequestContext context, Terms terms) {
    this.context = context;
    this.terms = terms;
    this.arrivalMillis = context.scheduler().nowMillis();
    this.arrivalWallMillis = context.scheduler().wallMillis();
  }

  Terms terms() {
    return terms;
  }

  RequestKey key() {
    return terms.key();
  }

  Reservation reservation() {
    return reservation;
  }

  long arrivalWallMillis() {
    return arrivalWallMillis;
  }

  long deadlineAtMillis() {
    return arrivalMillis + terms.deadlineMillis();
  }

  long remainingMillis() {
    return deadlineAtMillis() - context.scheduler().nowMillis();
  }

  void onReserved(Reservation granted) {
    reservation = granted;
    record("reserved", "", granted.holder());
  }

  void record(String kind, String upstream, String detail) {
    context
        .recorder()
        .record(kind, key().account(), key().requestId(), terms.budget(), upstream, detail);
  }

  /** Releases the buffer space for the bill and the complete reservation without charging. */
  void releaseUnbilled() {
    if (settled) {
      return;
    }
    settled = true;
    context.billing().releaseSlot();
    if (reservation != null) {
      context.budgets().close(reservation, 0);
    }
  }

  /** Charges the used tokens, but not more than were reserved. */
  void bill(long promptTokens, long completionTokens) {
    if (!settled) {
      Bill bill = settle(promptTokens, completionTokens);
      context.billing().record(bill, reservation);
    }
  }

  /** Charges like {@link #bill}; completes when the platform has stored the bill. */
  CompletableFuture<Void> billDurably(long promptTokens, long completionTokens) {
    if (settled) {
      return CompletableFuture.completedFuture(null);
    }
    Bill bill = settle(promptTokens, completionTokens);
    return context.billing().recordDurably(bill, reservation);
  }

  private Bill settle(long promptTokens, long completionTokens) {
    settled = true;
    long prompt = Math.min(promptTokens, reservation.tokens());
    long completion = Math.min(completionTokens, reservation.tokens() - prompt);
    if (prompt + completion < promptTokens + completionTokens) {
      record(
          "usage_above_reservation",
          "",
          (promptTokens + completionTokens) + " of " + reservation.tokens());
    }
    billedTokens = prompt + completion;
    return toBill(prompt, completion);
  }

  private Bill toBill(long prompt, long completion) {
    return new Bill(
        key().account(),
        key().requestId(),
        terms.budget(),
        reservation.holder(),
        context.self().incarnation(),
        reservation.id(),
        terms.target(),
        prompt,
        completion,
        terms.worth(),
        context.self().site(),
        terms.fingerprint(),
        arrivalWallMillis,
        context.scheduler().wallMillis(),
        lateMillis());
  }

  private long lateMillis() {
    return Math.max(0, -remainingMillis());
  }

  /** Ends the request for its caller, releases its limits and reports its outcome. */
  void end(boolean cancelled, Optional<Problem> problem) {
    if (ended) {
      return;
    }
    ended = true;
    context.admission().release(terms);
    context.recent().onEnded(key(), billedTokens, problem.isEmpty() && !cancelled);
    recordEnd(cancelled, problem);
    context
        .outcomes()
        .onOutcome(
            new RequestOutcome(
                key(),
                terms.budget(),
                terms.target(),
                terms.worth(),
                terms.worstCase(),
                billedTokens,
                lateMillis(),
                cancelled,
                problem));
  }

  private void recordEnd(boolean cancelled, Optional<Problem> problem) {
    if (problem.isPresent()) {
      Problem p = problem.get();
      record("refused", "", p.code().toField() + " ran=" + p.ran().toField());
    } else {
      record(cancelled ? "cancelled" : "completed", "", billedTokens + " tokens");
    }
  }
}
