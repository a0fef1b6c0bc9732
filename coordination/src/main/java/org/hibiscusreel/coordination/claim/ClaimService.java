package org.hibiscusreel.coordination.claim;

import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.platform.Backoff;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.platform.TableReads;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.request.RequestKey;

/** Claims calls that must not be repeated in the platform before they are dispatched. */
public final class ClaimService implements Claims {

  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long MAX_RETRY_MILLIS = 5_000;
  private static final long WITHDRAW_TIMEOUT_MILLIS = 2_000;
  private static final long STOP_TIMEOUT_MILLIS = 10_000;
  private static final long STOP_POLL_MILLIS = 50;

  /**
   * Largest body stored with an outcome. A row holds at most 64 KiB, and Base64 adds a third to the
   * body.
   */
  private static final int MAX_BODY_BYTES = 40_000;

  private final Scheduler scheduler;
  private final TableService table;
  private final EventRecorder events;
  private final LongSupplier random;
  private final String incarnation;
  private final Backoff backoff;
  private final Set<String> pendingNonces = new HashSet<>();

  /** State of one attempt to claim a call. */
  private static final class Attempt {
    private final RequestKey key;
    private final String nonce;
    private final String fingerprint;
    private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
    private long version;
    private boolean isInDoubt;
    private boolean isWriting;
    private int failures;

    private Attempt(RequestKey key, String nonce, String fingerprint) {
      this.key = key;
      this.nonce = nonce;
      this.fingerprint = fingerprint;
    }
  }

  /**
   * Creates the service.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param events records the event timeline
   * @param random source of random bits
   * @param incarnation this incarnation
   */
  public ClaimService(
      Scheduler scheduler,
      TableService table,
      EventRecorder events,
      LongSupplier random,
      String incarnation) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.events = Objects.requireNonNull(events, "events");
    this.random = Objects.requireNonNull(random, "random");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /**
   * Waits until pending outcomes and withdrawals are written to the platform.
   *
   * @return completes when none is pending, at the latest after ten seconds
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    awaitPendingChanges(scheduler.nowMillis() + STOP_TIMEOUT_MILLIS, stopped);
    return stopped;
  }

  private void awaitPendingChanges(long deadlineMillis, CompletableFuture<Void> stopped) {
    if (pendingNonces.isEmpty() || scheduler.nowMillis() >= deadlineMillis) {
      stopped.complete(null);
    } else {
      scheduler.schedule(STOP_POLL_MILLIS, () -> awaitPendingChanges(deadlineMillis, stopped));
    }
  }

  @Override
  public CompletableFuture<ClaimResult> claim(RequestKey key, String fingerprint, long waitMillis) {
    String nonce = String.format("%016x%016x", random.getAsLong(), random.getAsLong());
    Attempt attempt = new Attempt(key, nonce, fingerprint);
    scheduler.schedule(waitMillis, () -> expire(attempt));
    write(attempt);
    return attempt.result.thenApply(
        result -> {
          record("claim_" + result.getClass().getSimpleName().toLowerCase(Locale.ROOT), key, nonce);
          return result;
        });
  }

  private void record(String kind, RequestKey key, String nonce) {
    events.record(kind, key.account(), key.requestId(), "", "", "nonce=" + nonce);
  }

  private void expire(Attempt attempt) {
    if (attempt.isInDoubt || attempt.isWriting) {
      boolean isFirst =
          attempt.result.complete(
              new ClaimResult.Undetermined("the platform did not respond in time"));
      if (isFirst) {
        abandon(attempt, 0);
      }
    } else {
      attempt.result.complete(new ClaimResult.Unavailable("the platform did not respond in time"));
    }
  }

  private void write(Attempt attempt) {
    if (attempt.result.isDone()) {
      return;
    }
    attempt.isWriting = true;
    FutureCallbacks.onValue(
        table.transact(
            List.of(
                Mutation.replace(
                    key(attempt.key), attempt.version, row(attempt, ClaimState.CLAIMED)))),
        result -> handleWrite(attempt, result));
  }

  private void handleWrite(Attempt attempt, WriteResult result) {
    attempt.isWriting = false;
    if (attempt.result.isDone()) {
      return;
    }
    if (result instanceof WriteResult.Committed committed) {
      completeHeld(attempt, committed.versions().get(0));
    } else if (result instanceof WriteResult.Conflict conflict && !conflict.rows().isEmpty()) {
      resolveByRow(attempt, conflict.rows().get(0));
    } else if (result instanceof WriteResult.Unknown) {
      attempt.isInDoubt = true;
      read(attempt);
    } else {
      retry(attempt, () -> write(attempt));
    }
  }

  private void completeHeld(Attempt attempt, long version) {
    attempt.result.complete(
        new ClaimResult.Held(new Claim(attempt.key, attempt.nonce, attempt.fingerprint, version)));
  }

  private void read(Attempt attempt) {
    FutureCallbacks.onValue(
        table.read(List.of(key(attempt.key))),
        result -> {
          if (attempt.result.isDone()) {
            return;
          }
          if (result instanceof ReadResult.Rows rows) {
            resolveByRow(
                attempt,
                TableReads.find(rows, key(attempt.key)).orElse(new Row(key(attempt.key), 0, "")));
          } else {
            retry(attempt, () -> read(attempt));
          }
        });
  }

  /**
   * Resolves an attempt by the nonce of the current row. A withdrawn claim may be claimed again.
   */
  private void resolveByRow(Attempt attempt, Row row) {
    if (row.version() == 0) {
      retryWithVersion(attempt, row.version());
      return;
    }
    ClaimRow present = Json.read(row.value(), ClaimRow.class);
    if (present.nonce().equals(attempt.nonce)) {
      completeHeld(attempt, row.version());
    } else if (present.state() == ClaimState.WITHDRAWN) {
      retryWithVersion(attempt, row.version());
    } else {
      attempt.result.complete(new ClaimResult.Taken(present));
    }
  }

  private void retryWithVersion(Attempt attempt, long version) {
    attempt.version = version;
    retry(attempt, () -> write(attempt));
  }

  private void retry(Attempt attempt, Runnable step) {
    attempt.failures++;
    scheduler.schedule(
        backoff.delayMillis(attempt.failures),
        () -> {
          if (!attempt.result.isDone()) {
            step.run();
          }
        });
  }

  /**
   * Withdraws a claim that may have been written although its attempt has timed out. The row is
   * written even if it is absent, because the earlier write may still take effect.
   */
  private void abandon(Attempt attempt, int failures) {
    pendingNonces.add(attempt.nonce);
    String value = row(attempt, ClaimState.WITHDRAWN);
    FutureCallbacks.onValue(
        table.transact(List.of(Mutation.replace(key(attempt.key), attempt.version, value))),
        result -> {
          boolean isDone = result instanceof WriteResult.Committed;
          if (result instanceof WriteResult.Conflict c && !c.rows().isEmpty()) {
            Row row = c.rows().get(0);
            isDone = row.version() > 0 && !isClaimedBy(row, attempt.nonce);
            attempt.version = row.version();
          }
          if (isDone) {
            pendingNonces.remove(attempt.nonce);
            record("claim_abandoned", attempt.key, attempt.nonce);
          } else {
            int next = failures + 1;
            scheduler.schedule(backoff.delayMillis(next), () -> abandon(attempt, next));
          }
        });
  }

  private static boolean isClaimedBy(Row row, String nonce) {
    ClaimRow present = Json.read(row.value(), ClaimRow.class);
    return present.nonce().equals(nonce) && present.state() == ClaimState.CLAIMED;
  }

  private String row(Attempt attempt, ClaimState state) {
    return Json.write(
        new ClaimRow(
            incarnation,
            attempt.nonce,
            state,
            attempt.fingerprint,
            0,
            "",
            "",
            scheduler.wallMillis()));
  }

  @Override
  public CompletableFuture<Boolean> withdraw(Claim claim) {
    ClaimRow row =
        new ClaimRow(
            incarnation,
            claim.nonce(),
            ClaimState.WITHDRAWN,
            claim.fingerprint(),
            0,
            "",
            "",
            scheduler.wallMillis());
    CompletableFuture<Boolean> committed = new CompletableFuture<>();
    scheduler.schedule(WITHDRAW_TIMEOUT_MILLIS, () -> committed.complete(false));
    FutureCallbacks.onValue(
        replace(claim, row, 0),
        done -> {
          committed.complete(done);
          record("claim_withdrawn", claim.key(), claim.nonce());
        });
    return committed;
  }

  @Override
  public void finish(Claim claim, int status, String contentType, byte[] body) {
    String kept = body.length <= MAX_BODY_BYTES ? Base64.getEncoder().encodeToString(body) : "";
    ClaimRow row =
        new ClaimRow(
            incarnation,
            claim.nonce(),
            ClaimState.FINISHED,
            claim.fingerprint(),
            status,
            contentType,
            kept,
            scheduler.wallMillis());
    FutureCallbacks.onValue(
        replace(claim, row, 0), done -> record("claim_finished", claim.key(), claim.nonce()));
  }

  /** Retries a change of a held claim until it is written or conflicts with another row version. */
  private CompletableFuture<Boolean> replace(Claim claim, ClaimRow next, int failures) {
    pendingNonces.add(claim.nonce());
    return table
        .transact(List.of(Mutation.replace(key(claim.key()), claim.version(), Json.write(next))))
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Committed) {
                return completeChange(claim, true);
              }
              if (result instanceof WriteResult.Conflict c && !c.rows().isEmpty()) {
                return completeChange(claim, isWritten(c.rows().get(0), next));
              }
              CompletableFuture<Boolean> later = new CompletableFuture<>();
              scheduler.schedule(
                  backoff.delayMillis(failures + 1),
                  () ->
                      FutureCallbacks.onValue(replace(claim, next, failures + 1), later::complete));
              return later;
            });
  }

  private CompletableFuture<Boolean> completeChange(Claim claim, boolean isWritten) {
    pendingNonces.remove(claim.nonce());
    return CompletableFuture.completedFuture(isWritten);
  }

  private static boolean isWritten(Row row, ClaimRow next) {
    if (row.version() == 0) {
      return false;
    }
    ClaimRow present = Json.read(row.value(), ClaimRow.class);
    return present.nonce().equals(next.nonce()) && present.state() == next.state();
  }

  @Override
  public CompletableFuture<LookUp> lookUp(RequestKey key) {
    return table
        .read(List.of(key(key)))
        .thenApply(
            result -> {
              if (result instanceof ReadResult.Rows rows) {
                Optional<ClaimRow> row =
                    TableReads.find(rows, key(key)).map(r -> Json.read(r.value(), ClaimRow.class));
                return new LookUp.Known(row);
              }
              return new LookUp.Unavailable("the platform can't be read");
            });
  }

  private static String key(RequestKey key) {
    return TableKeys.claim(key.account(), key.requestId());
  }
}
