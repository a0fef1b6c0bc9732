package org.hibiscusreel.coordination.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.ledger.BillBatch;
import org.hibiscusreel.core.ledger.PendingBill;
import org.hibiscusreel.core.ledger.SpentKey;
import org.hibiscusreel.core.ledger.SpentRow;

/**
 * Inserts bills and updates the sums of spent tokens in one transaction. A bill is inserted only if
 * its key is absent, so a transaction whose response was lost and its retry can't both take effect.
 */
public final class BillWriter {

  /**
   * Result of one attempt for one bill.
   *
   * @param pending the bill as it was sent
   * @param verdict result of the comparison with the row in the platform
   */
  public record Outcome(PendingBill pending, PendingBill.Verdict verdict) {}

  /**
   * Result of one attempt. Bills without an outcome must be sent again.
   *
   * @param outcomes outcomes of the bills for which the result is known
   * @param failure description of the failure, empty if the platform responded
   */
  public record Attempt(List<Outcome> outcomes, String failure) {

    /** Copies the list. */
    public Attempt {
      outcomes = List.copyOf(outcomes);
    }
  }

  /** Limits the number of cached sums; an evicted one costs one additional conflict. */
  private static final int MAX_CACHED_SUMS = 10_000;

  private record CachedSum(long version, long tokens) {}

  private final TableService table;
  private final Map<SpentKey, CachedSum> cachedSums =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SpentKey, CachedSum> eldest) {
          return size() > MAX_CACHED_SUMS;
        }
      };

  /**
   * Creates a writer.
   *
   * @param table the platform
   */
  public BillWriter(TableService table) {
    this.table = Objects.requireNonNull(table, "table");
  }

  /**
   * Makes one attempt to write a batch.
   *
   * @param batch the batch, not empty
   * @return the result
   */
  public CompletableFuture<Attempt> write(BillBatch batch) {
    List<Mutation> mutations = new ArrayList<>();
    for (PendingBill p : batch.bills()) {
      mutations.add(Mutation.insert(key(p), Json.write(p.bill())));
    }
    List<SpentKey> spent = List.copyOf(batch.spent().keySet());
    Map<SpentKey, Long> totals = new LinkedHashMap<>();
    for (SpentKey s : spent) {
      CachedSum known = cachedSums.getOrDefault(s, new CachedSum(0, 0));
      long total = known.tokens() + batch.spent().get(s);
      totals.put(s, total);
      mutations.add(Mutation.replace(key(s), known.version(), Json.write(new SpentRow(total))));
    }
    return table
        .transact(mutations)
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Committed committed) {
                for (int i = 0; i < spent.size(); i++) {
                  long version = committed.versions().get(batch.bills().size() + i);
                  cachedSums.put(spent.get(i), new CachedSum(version, totals.get(spent.get(i))));
                }
                return completedAttempt(outcomes(batch, PendingBill.Verdict.WRITTEN), "");
              }
              if (result instanceof WriteResult.Conflict conflict && !conflict.rows().isEmpty()) {
                return completedAttempt(handleRows(batch, conflict.rows()), "");
              }
              if (result instanceof WriteResult.NotApplied notApplied) {
                return completedAttempt(List.of(), "not applied: " + notApplied.reason());
              }
              return readBack(batch);
            });
  }

  private static CompletableFuture<Attempt> completedAttempt(
      List<Outcome> outcomes, String failure) {
    return CompletableFuture.completedFuture(new Attempt(outcomes, failure));
  }

  private static List<Outcome> outcomes(BillBatch batch, PendingBill.Verdict verdict) {
    return batch.bills().stream().map(p -> new Outcome(p, verdict)).toList();
  }

  private CompletableFuture<Attempt> readBack(BillBatch batch) {
    List<String> keys = new ArrayList<>();
    batch.bills().forEach(p -> keys.add(key(p)));
    batch.spent().keySet().forEach(s -> keys.add(key(s)));
    return table
        .read(keys)
        .thenApply(
            result -> {
              if (result instanceof ReadResult.Rows rows) {
                return new Attempt(handleRows(batch, rows.rows()), "");
              }
              return new Attempt(List.of(), "the outcome can't be read back");
            });
  }

  /** Caches the sums read and compares the bills read with those of the batch. */
  private List<Outcome> handleRows(BillBatch batch, List<Row> rows) {
    Map<String, Row> byKey = new LinkedHashMap<>();
    rows.forEach(r -> byKey.put(r.key(), r));
    for (SpentKey s : batch.spent().keySet()) {
      Row row = byKey.get(key(s));
      if (row != null && row.version() == 0) {
        cachedSums.remove(s);
      } else if (row != null) {
        cachedSums.put(
            s, new CachedSum(row.version(), Json.read(row.value(), SpentRow.class).tokens()));
      }
    }
    List<Outcome> outcomes = new ArrayList<>();
    for (PendingBill p : batch.bills()) {
      Row row = byKey.get(key(p));
      if (row != null && row.version() > 0) {
        outcomes.add(new Outcome(p, p.compare(Json.read(row.value(), Bill.class))));
      }
    }
    return outcomes;
  }

  private static String key(PendingBill p) {
    return TableKeys.bill(p.bill().account(), p.billedId());
  }

  private static String key(SpentKey s) {
    return TableKeys.spent(s.holder(), s.budget(), s.server());
  }
}
