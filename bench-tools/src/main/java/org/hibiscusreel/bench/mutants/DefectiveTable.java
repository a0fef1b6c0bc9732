package org.hibiscusreel.bench.mutants;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.ledger.Bill;

/** Table service whose transactions have an injected defect. */
final class DefectiveTable implements TableService {

  private static final String BILL_KEY_PREFIX = "bill/";

  /** Executes a transaction with a defect. */
  @FunctionalInterface
  interface TransactionDefect {
    CompletableFuture<WriteResult> transact(TableService table, List<Mutation> mutations);
  }

  private final TableService delegate;
  private final TransactionDefect transactionDefect;

  DefectiveTable(TableService delegate, TransactionDefect transactionDefect) {
    this.delegate = delegate;
    this.transactionDefect = transactionDefect;
  }

  /** Adds the reservation to each bill key, so that a second bill of a request is no conflict. */
  static CompletableFuture<WriteResult> billPerReservation(
      TableService table, List<Mutation> mutations) {
    return table.transact(mutations.stream().map(DefectiveTable::withReservationInKey).toList());
  }

  private static Mutation withReservationInKey(Mutation m) {
    if (!m.key().startsWith(BILL_KEY_PREFIX) || !(m.change() instanceof Mutation.Change.Put p)) {
      return m;
    }
    Bill b = Json.read(p.value(), Bill.class);
    String suffix = "~" + Integer.toHexString(b.reservationId().hashCode());
    return new Mutation(m.key() + suffix, m.expect(), m.change());
  }

  /** Repeats a transaction with an unknown outcome unconditionally instead of reading it back. */
  static CompletableFuture<WriteResult> resendUnconditionally(
      TableService table, List<Mutation> mutations) {
    return table
        .transact(mutations)
        .thenCompose(
            result ->
                result instanceof WriteResult.Unknown
                    ? table.transact(
                        mutations.stream().map(DefectiveTable::withoutPrecondition).toList())
                    : CompletableFuture.completedFuture(result));
  }

  private static Mutation withoutPrecondition(Mutation m) {
    return new Mutation(m.key(), new Mutation.Expect.Any(), m.change());
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    return transactionDefect.transact(delegate, mutations);
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    return delegate.read(keys);
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    return delegate.scan(prefix, after, limit);
  }
}
