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
 * Inserts bills together with the sums of {@code spent}. A bill is inserted only if its key is
 * absent, so a transaction whose answer was lost and its repetition can't both take effect.
 */
public final class BillWriter {

  /**
   * Result of one attempt for one bill.
   *
   * @param pending the bill as it was sent
   * @param verdict what is known of it now
   */
  public record Outcome(PendingBill pending, PendingBill.Verdict verdict) {}

  /**
   * Result of one attempt. Bills without an outcome have to be sent again.
   *
   * @param outcomes bills whose fate is known
   * @param failure what failed, empty if the platform responded
   */
  public record Attempt(List<Outcome> outcomes, String failure) {

    /** Copies the list. */
    public Attempt {
      outcomes = List.copyOf(outcomes);
    }
  }

  /** Bounds the cached sums; a forgotten one costs one more conflict. */
  private static final int MAX_CACHED_SUMS = 10_000;

  private record Sum(long version, long tokens) {}

  private final TableService table;
  private final Map<SpentKey, Sum> sums =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SpentKey, Sum> eldest) {
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
   * Tries once to write a batch.
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
      Sum known = sums.getOrDefault(s, new Sum(0, 0));
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
                  sums.put(spent.get(i), new Sum(version, totals.get(spent.get(i))));
                }
                return done(outcomes(batch, PendingBill.Verdict.WRITTEN), "");
              }
              if (result instanceof WriteResult.Conflict conflict && !conflict.rows().isEmpty()) {
                return done(observe(batch, conflict.rows()), "");
              }
              if (result instanceof WriteResult.NotApplied notApplied) {
                return done(List.of(), "not applied: " + notApplied.reason());
              }
              return readBack(batch);
            });
  }

  private static CompletableFuture<Attempt> done(List<Outcome> outcomes, String failure) {
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
                return new Attempt(observe(batch, rows.rows()), "");
              }
              return new Attempt(List.of(), "the outcome can't be read back");
            });
  }

  /** Takes over present sums and compares present bills with those of the batch. */
  private List<Outcome> observe(BillBatch batch, List<Row> rows) {
    Map<String, Row> byKey = new LinkedHashMap<>();
    rows.forEach(r -> byKey.put(r.key(), r));
    for (SpentKey s : batch.spent().keySet()) {
      Row row = byKey.get(key(s));
      if (row != null && row.version() == 0) {
        sums.remove(s);
      } else if (row != null) {
        sums.put(s, new Sum(row.version(), Json.read(row.value(), SpentRow.class).tokens()));
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
