package org.hibiscusreel.coordination.testing;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.UsageRecord;

/** Engine that only serves usage records. */
public final class FakeEngine {

  public final List<UsageRecord> records = new ArrayList<>();
  public boolean isDown;

  /** Adds the usage record of a running or ended generation. */
  public void record(DispatchMetadata metadata, long tokens, UsageRecord.State state) {
    long seq = records.size() + 1L;
    records.add(new UsageRecord(seq, "stream" + seq, metadata, 0, tokens, state));
  }

  EngineClient client() {
    return (EngineClient)
        Proxy.newProxyInstance(
            EngineClient.class.getClassLoader(),
            new Class<?>[] {EngineClient.class},
            (proxy, method, args) -> usage((String) args[1], (Long) args[2]));
  }

  private CompletableFuture<Optional<List<UsageRecord>>> usage(String server, long after) {
    List<UsageRecord> found =
        records.stream()
            .filter(r -> r.metadata().server().equals(server) && r.seq() > after)
            .limit(10)
            .toList();
    return CompletableFuture.completedFuture(isDown ? Optional.empty() : Optional.of(found));
  }
}
