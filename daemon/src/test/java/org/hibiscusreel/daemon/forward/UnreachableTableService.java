package org.hibiscusreel.daemon.forward;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** Table service that is never reachable. */
final class UnreachableTableService implements TableService {

  @Override
  public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
    return CompletableFuture.completedFuture(new WriteResult.NotApplied("unreachable"));
  }

  @Override
  public CompletableFuture<ReadResult> read(List<String> keys) {
    return CompletableFuture.completedFuture(new ReadResult.Failed("unreachable"));
  }

  @Override
  public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
    return read(List.of());
  }
}
