package org.hibiscusreel.bench.slopes;

import com.google.protobuf.MessageLite;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.TableService;

/**
 * Counts the calls that daemons make through their ports. A transaction is counted by the key
 * prefix of its first row, for example under {@code table.transact.bill}.
 */
final class CallCounter {

  /**
   * Totals of one type of call.
   *
   * @param calls number of calls
   * @param bytes bytes of peer messages and responses, and of the keys and values of written rows
   * @param rows rows changed by transactions
   */
  record Count(long calls, long bytes, long rows) {
    static final Count NONE = new Count(0, 0, 0);

    Count plus(Count other) {
      return new Count(calls + other.calls, bytes + other.bytes, rows + other.rows);
    }

    Count minus(Count other) {
      return new Count(calls - other.calls, bytes - other.bytes, rows - other.rows);
    }
  }

  private final Map<String, Count> counts = new TreeMap<>();
  private long events;

  /** Returns ports that count the calls and forward them. */
  NodeDependencies wrap(NodeDependencies p) {
    return new NodeDependencies(
        p.scheduler(),
        countingProxy(TableService.class, "table", p.table()),
        countingProxy(ObjectStore.class, "objects", p.objects()),
        countingProxy(HostList.class, "hosts", p.hosts()),
        countingProxy(PeerTransport.class, "peers", p.peers()),
        countingProxy(EngineClient.class, "engines", p.engines()),
        p.services(),
        e -> events++,
        p.random());
  }

  /** Returns the number of recorded events. */
  long events() {
    return events;
  }

  /** Returns a copy of the counts by call name. */
  Map<String, Count> snapshot() {
    return new TreeMap<>(counts);
  }

  /**
   * Returns the sum of the counts added since a snapshot, for call names that start with a prefix.
   */
  Count countsSince(Map<String, Count> earlier, String prefix) {
    return counts.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .map(e -> e.getValue().minus(earlier.getOrDefault(e.getKey(), Count.NONE)))
        .reduce(Count.NONE, Count::plus);
  }

  private void add(String name, long calls, long bytes, long rows) {
    counts.merge(name, new Count(calls, bytes, rows), Count::plus);
  }

  private <T> T countingProxy(Class<T> type, String port, T target) {
    Object proxy =
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (self, method, args) -> {
              String name = port + "." + method.getName();
              Object[] present = args == null ? new Object[0] : args;
              count(name, present);
              try {
                Object result = method.invoke(target, args);
                if (result instanceof CompletableFuture<?> f) {
                  var unused = f.thenAccept(r -> countResponse(name, r));
                }
                return result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
    return type.cast(proxy);
  }

  private void count(String name, Object[] args) {
    if (name.equals("table.transact")) {
      countTransaction((List<?>) args[0]);
      return;
    }
    long bytes = 0;
    for (Object a : args) {
      bytes += a instanceof MessageLite m ? m.getSerializedSize() : 0;
    }
    add(name, 1, bytes, 0);
  }

  private void countTransaction(List<?> mutations) {
    String kind = "";
    long bytes = 0;
    for (Object o : mutations) {
      Mutation m = (Mutation) o;
      kind = kind.isEmpty() ? m.key().substring(0, m.key().indexOf('/')) : kind;
      if (m.change() instanceof Mutation.Change.Put put) {
        bytes += m.key().length() + put.value().getBytes(StandardCharsets.UTF_8).length;
      }
    }
    add("table.transact." + kind, 1, bytes, mutations.size());
  }

  private void countResponse(String name, Object response) {
    if (response instanceof Optional<?> o && o.orElse(null) instanceof MessageLite m) {
      add(name, 0, m.getSerializedSize(), 0);
    }
  }
}
