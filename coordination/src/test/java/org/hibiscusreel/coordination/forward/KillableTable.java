package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** Forwards calls to a table until the calling process is killed. */
record KillableTable(TableService table, BooleanSupplier isAlive) implements TableService {

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    return isAlive.getAsBoolean() ? table.transact(mutations) : new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    return isAlive.getAsBoolean() ? table.read(keys) : new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    return isAlive.getAsBoolean() ? table.scan(prefix, after, limit) : new CompletableFuture<>();
  }
}
