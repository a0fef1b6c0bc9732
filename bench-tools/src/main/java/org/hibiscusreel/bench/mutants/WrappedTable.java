package org.hibiscusreel.bench.mutants;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.ledger.Bill;

/** Table service with faulty writes. */
final class WrappedTable implements TableService {

  private static final String BILLS = "bill/";

  /** Performs a transaction in a faulty way. */
  @FunctionalInterface
  interface Writes {
    CompletableFuture<WriteResult> transact(TableService table, List<Mutation> mutations);
  }

  private final TableService table;
  private final Writes writes;

  WrappedTable(TableService table, Writes writes) {
    this.table = table;
    this.writes = writes;
  }

  /** Keys each bill by its reservation too, so that no insert meets an earlier bill. */
  static CompletableFuture<WriteResult> billPerReservation(
      TableService table, List<Mutation> mutations) {
    return table.transact(mutations.stream().map(WrappedTable::withReservation).toList());
  }

  private static Mutation withReservation(Mutation m) {
    if (!m.key().startsWith(BILLS) || !(m.change() instanceof Mutation.Change.Put p)) {
      return m;
    }
    Bill b = Json.read(p.value(), Bill.class);
    String suffix = "~" + Integer.toHexString(b.reservationId().hashCode());
    return new Mutation(m.key() + suffix, m.expect(), m.change());
  }

  /** Sends a transaction of unknown outcome again, unconditionally, instead of reading back. */
  static CompletableFuture<WriteResult> sendAgain(TableService table, List<Mutation> mutations) {
    return table
        .transact(mutations)
        .thenCompose(
            result ->
                result instanceof WriteResult.Unknown
                    ? table.transact(mutations.stream().map(WrappedTable::unconditional).toList())
                    : CompletableFuture.completedFuture(result));
  }

  private static Mutation unconditional(Mutation m) {
    return new Mutation(m.key(), new Mutation.Expect.Any(), m.change());
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    return writes.transact(table, mutations);
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    return table.read(keys);
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    return table.scan(prefix, after, limit);
  }
}
