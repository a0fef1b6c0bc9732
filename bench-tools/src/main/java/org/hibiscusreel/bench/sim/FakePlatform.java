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
   * Creates an empty store and list.
   *
   * @param time the virtual clock
   * @param links links to the failure domains
   */
  public FakePlatform(VirtualTime time, Links links) {
    this.time = time;
    this.links = links;
  }

  /** Refuses all calls while true. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Writes an object without any fault. */
  public void putObject(String key, byte[] body) {
    objects.put(key, body.clone());
  }

  /** Lists a host, replacing its earlier entry. */
  public void list(HostList.Host host) {
    hosts.put(host.host(), host);
  }

  /**
   * Returns the object store as one process reaches it.
   *
   * @param scope the process
   * @param end its failure domain
   * @return a client
   */
  public ObjectStore objects(ProcessScope scope, String end) {
    return new Objects(scope, end);
  }

  /**
   * Returns the host list as one process reaches it.
   *
   * @param scope the process
   * @param end its failure domain
   * @return a client
   */
  public HostList hosts(ProcessScope scope, String end) {
    return () ->
        call(
            scope,
            end,
            Optional.empty(),
            () -> Optional.of(new HostList.Listing(new ArrayList<>(hosts.values()), List.of())));
  }

  private <T> CompletableFuture<T> call(
      ProcessScope scope, String end, T failure, Supplier<T> query) {
    CompletableFuture<T> f = new CompletableFuture<>();
    time.schedule(
        links.delayMillis(),
        () -> {
          boolean cut = links.isCut(end, Links.PLATFORM);
          T r = cut || down ? failure : query.get();
          long delay = cut ? TIMEOUT_MILLIS : links.delayMillis();
          time.schedule(delay, () -> scope.deliver(() -> f.complete(r)));
        });
    return f;
  }

  private final class Objects implements ObjectStore {

    private final ProcessScope scope;
    private final String end;

    Objects(ProcessScope scope, String end) {
      this.scope = scope;
      this.end = end;
    }

    @Override
    public CompletableFuture<Boolean> put(String key, byte[] body) {
      byte[] copy = body.clone();
      return call(
          scope,
          end,
          false,
          () -> {
            objects.put(key, copy);
            return true;
          });
    }

    @Override
    public CompletableFuture<GetResult> get(String key) {
      return call(
          scope,
          end,
          new GetResult.Failed("unavailable"),
          () -> {
            byte[] b = objects.get(key);
            return b == null ? new GetResult.Missing() : new GetResult.Found(b.clone());
          });
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix) {
      return call(
          scope,
          end,
          new ListResult.Failed("unavailable"),
          () ->
              new ListResult.Keys(
                  new ArrayList<>(objects.subMap(prefix, prefix + Character.MAX_VALUE).keySet())));
    }
  }
}
