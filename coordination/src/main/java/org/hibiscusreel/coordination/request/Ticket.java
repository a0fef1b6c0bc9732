package org.hibiscusreel.coordination.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.RequestKey;

/** What one admitted request holds, and how it is given back exactly once. */
final class Ticket {
  /**
   * Terms of a request that don't change.
   *
   * @param key the request
   * @param budget budget to charge
   * @param target model name, or {@code service/method}
   * @param model model name, or empty
   * @param fingerprint SHA-256 of the normalized content, in hexadecimal
   * @param worstCase tokens to reserve
   * @param worth worth of the request
   * @param priority priority at engines
   * @param deadlineMillis time from arrival to the deadline
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
  private final long arrivedAt;
  private final long arrivedWall;
  private Reservation reservation;
  private boolean settled;
  private boolean ended;
  private long billedTokens;

  Ticket(RequestContext context, Terms terms) {
    this.context = context;
    this.terms = terms;
    this.arrivedAt = context.scheduler().nowMillis();
    this.arrivedWall = context.scheduler().wallMillis();
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

  long arrivedWall() {
    return arrivedWall;
  }

  long deadlineAt() {
    return arrivedAt + terms.deadlineMillis();
  }

  long remainingMillis() {
    return deadlineAt() - context.scheduler().nowMillis();
  }

  void reserved(Reservation granted) {
    reservation = granted;
    record("reserved", "", granted.holder());
  }

  void record(String kind, String upstream, String detail) {
    context
        .recorder()
        .record(kind, key().account(), key().requestId(), terms.budget(), upstream, detail);
  }

  /** Charges nothing: gives back the room for the bill and the whole reservation. */
  void closeUnbilled() {
    if (settled) {
      return;
    }
    settled = true;
    context.billing().release();
    if (reservation != null) {
      context.budgets().close(reservation, 0);
    }
  }

  /** Charges what was used, at most what was reserved. */
  void bill(long promptTokens, long completionTokens) {
    if (!settled) {
      Bill bill = settle(promptTokens, completionTokens);
      context.billing().record(bill, reservation);
    }
  }

  /** Charges like {@link #bill} and tells when the bill is in the platform. */
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
        arrivedWall,
        context.scheduler().wallMillis(),
        lateMillis());
  }

  private long lateMillis() {
    return Math.max(0, -remainingMillis());
  }

  /** Ends the request for its caller and gives back the limits. */
  void end(boolean cancelled, Optional<Problem> problem) {
    if (ended) {
      return;
    }
    ended = true;
    context.admission().release(terms);
    context.recent().ended(key(), billedTokens, problem.isEmpty() && !cancelled);
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
