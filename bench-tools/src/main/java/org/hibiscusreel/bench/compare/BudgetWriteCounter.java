package org.hibiscusreel.bench.compare;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.bench.sim.NodeFactory;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** Counts the transactions on budget rows to which the table service returned a known result. */
final class BudgetWriteCounter {

  private static final String BUDGET_KEY_PREFIX = "budget/";

  private long count;

  /** Returns the number of transactions counted so far. */
  long count() {
    return count;
  }

  /** Returns a factory whose daemons have their transactions counted. */
  NodeFactory wrap(NodeFactory factory) {
    return (settings, ports) ->
        factory.create(
            settings,
            new NodeDependencies(
                ports.scheduler(),
                new CountingTable(ports.table()),
                ports.objects(),
                ports.hosts(),
                ports.peers(),
                ports.engines(),
                ports.services(),
                ports.events(),
                ports.random()));
  }

  private final class CountingTable implements TableService {

    private final TableService table;

    CountingTable(TableService table) {
      this.table = table;
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      boolean isBudget = mutations.stream().anyMatch(m -> m.key().startsWith(BUDGET_KEY_PREFIX));
      return table
          .transact(mutations)
          .thenApply(
              result -> {
                if (isBudget && !(result instanceof WriteResult.Unknown)) {
                  count++;
                }
                return result;
              });
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
}
