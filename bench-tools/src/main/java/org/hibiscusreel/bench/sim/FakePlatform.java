package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.ObjectStore;

/** Simulated object store and host list of the platform. */
public final class FakePlatform {

  private static final long TIMEOUT_MILLIS = 2_000;

  private final VirtualTime time;
  private final Links links;
  private final TreeMap<String, byte[]> objects = new TreeMap<>();
  private final Map<String, HostList.Host> hosts = new HashMap<>();
  private boolean down;

  /**
   * Creates an empty object store and host list.
   *
   * @param time the virtual clock
   * @param links links between the failure domains and the platform
   */
  public FakePlatform(VirtualTime time, Links links) {
    this.time = time;
    this.links = links;
  }

  /** Sets whether all calls are refused. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Stores an object directly, unaffected by faults. */
  public void putObject(String key, byte[] body) {
    objects.put(key, body.clone());
  }

  /** Adds a host to the host list, replacing an earlier entry of that host. */
  public void addHost(HostList.Host host) {
    hosts.put(host.host(), host);
  }

  /**
   * Returns a client of the object store for one process.
   *
   * @param process process that uses the client
   * @param domain failure domain of the process
   * @return the client
   */
  public ObjectStore objects(SimulatedProcess process, String domain) {
    return new ObjectStoreClient(process, domain);
  }

  /**
   * Returns a client of the host list for one process.
   *
   * @param process process that uses the client
   * @param domain failure domain of the process
   * @return the client
   */
  public HostList hosts(SimulatedProcess process, String domain) {
    return () ->
        call(
            process,
            domain,
            Optional.empty(),
            () -> Optional.of(new HostList.Listing(new ArrayList<>(hosts.values()), List.of())));
  }

  private <T> CompletableFuture<T> call(
      SimulatedProcess process, String domain, T failure, Supplier<T> query) {
    CompletableFuture<T> future = new CompletableFuture<>();
    time.schedule(
        links.delayMillis(),
        () -> {
          boolean cut = links.isCut(domain, Links.PLATFORM);
          T r = cut || down ? failure : query.get();
          long delay = cut ? TIMEOUT_MILLIS : links.delayMillis();
          time.schedule(delay, () -> process.deliver(() -> future.complete(r)));
        });
    return future;
  }

  private final class ObjectStoreClient implements ObjectStore {

    private final SimulatedProcess process;
    private final String domain;

    ObjectStoreClient(SimulatedProcess process, String domain) {
      this.process = process;
      this.domain = domain;
    }

    @Override
    public CompletableFuture<Boolean> put(String key, byte[] body) {
      byte[] copy = body.clone();
      return call(
          process,
          domain,
          false,
          () -> {
            objects.put(key, copy);
            return true;
          });
    }

    @Override
    public CompletableFuture<GetResult> get(String key) {
      return call(
          process,
          domain,
          new GetResult.Failed("unavailable"),
          () -> {
            byte[] b = objects.get(key);
            return b == null ? new GetResult.Missing() : new GetResult.Found(b.clone());
          });
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix) {
      return call(
          process,
          domain,
          new ListResult.Failed("unavailable"),
          () ->
              new ListResult.Keys(
                  new ArrayList<>(objects.subMap(prefix, prefix + Character.MAX_VALUE).keySet())));
    }
  }
}
