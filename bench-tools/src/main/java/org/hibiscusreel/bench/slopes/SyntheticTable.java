package org.hibiscusreel.bench.slopes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.budget.AllotmentPolicy;
import org.hibiscusreel.core.budget.BudgetRow;

/**
 * Table service that stores no rows, so that it adds nothing to the measured memory. Every budget
 * exists with a large amount, and every transaction commits unless the table is set to be down.
 */
final class SyntheticTable implements TableService {

  static final String ACCOUNT = "account-0";

  private static final String BUDGET_PREFIX = "budget/";
  private static final String BUDGET_VALUE =
      Json.write(
          new BudgetRow(ACCOUNT, 1_000_000_000_000_000L, 0, AllotmentPolicy.BALANCED, List.of()));

  private boolean isDown;
  private long version = 1;
  private ConfigurationHead head = new ConfigurationHead(0, "");

  void setDown(boolean value) {
    isDown = value;
  }

  void setHead(ConfigurationHead value) {
    head = value;
  }

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    WriteResult r =
        isDown
            ? new WriteResult.NotApplied("down")
            : new WriteResult.Committed(Collections.nCopies(mutations.size(), ++version));
    return CompletableFuture.completedFuture(r);
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    List<Row> rows = new ArrayList<>();
    for (String key : keys) {
      if (key.startsWith(BUDGET_PREFIX)) {
        rows.add(new Row(key, 1, BUDGET_VALUE));
      } else if (key.equals(TableKeys.CONFIG_HEAD) && head.version() > 0) {
        rows.add(new Row(key, head.version(), Json.write(head)));
      }
    }
    return CompletableFuture.completedFuture(new ReadResult.Rows(rows, false));
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    return CompletableFuture.completedFuture(new ReadResult.Rows(List.of(), false));
  }
}
