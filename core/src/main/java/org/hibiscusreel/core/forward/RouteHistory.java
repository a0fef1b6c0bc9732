package org.hibiscusreel.core.forward;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Services to which the configurations of the last minute have led each route whose streams may be
 * resumed. A stream may have begun by any of these configurations, at another daemon also by one
 * that this daemon no longer uses. Not thread-safe.
 */
public final class RouteHistory {

  /**
   * Time in milliseconds for which a configuration counts after its end. It is longer than a stream
   * is kept, since a host that is cut off may serve by an outdated configuration.
   */
  public static final long KEEP_MILLIS = 60_000;

  private record Key(String host, String pathPrefix) {

    static Key of(Route route) {
      return new Key(route.host(), route.pathPrefix());
    }

    boolean matches(String name, String path) {
      return host.equals(name) && path.startsWith(pathPrefix);
    }
  }

  /** Services of one route. */
  private static final class Led {
    private Set<String> current = Set.of(); // empty while there is no such route
    private long currentSinceMillis;
    private final Map<String, Long> endedAtMillis = new HashMap<>();

    void lead(Set<String> services, long sinceMillis, long nowMillis) {
      current.forEach(s -> endedAtMillis.put(s, nowMillis));
      if (current.isEmpty()) {
        currentSinceMillis = sinceMillis;
      }
      current = services;
    }

    Set<String> since(long millis) {
      Set<String> result = new HashSet<>(current);
      endedAtMillis.forEach(
          (service, at) -> {
            if (at >= millis) {
              result.add(service);
            }
          });
      return result;
    }

    boolean isForgotten(long millis) {
      endedAtMillis.values().removeIf(at -> at < millis);
      return current.isEmpty() && endedAtMillis.isEmpty();
    }
  }

  private final Map<Key, Led> routes = new HashMap<>();
  private final Map<Long, Long> digestEndedAtMillis = new HashMap<>();
  private OptionalLong digest = OptionalLong.empty(); // of the configuration in force

  /**
   * Records a configuration that takes effect.
   *
   * @param table the configuration
   * @param nowMillis monotonic time in milliseconds
   */
  public void onConfiguration(ForwardingTable table, long nowMillis) {
    final long oldest = nowMillis - KEEP_MILLIS;
    // Whether others served by another one before the first is told by their rows.
    final long sinceMillis = digest.isEmpty() ? Long.MIN_VALUE : nowMillis;
    Map<Key, Set<String>> led = new HashMap<>();
    for (Route r : table.routes()) {
      if (r.retryPolicy() == RetryPolicy.RESUMABLE) {
        led.put(Key.of(r), r.serviceNames());
      }
    }
    OptionalLong earlier = digest;
    digest = OptionalLong.of(digestOf(led));
    earlier.ifPresent(d -> digestEndedAtMillis.put(d, nowMillis));
    digestEndedAtMillis.values().removeIf(at -> at < oldest);
    led.keySet().forEach(k -> routes.computeIfAbsent(k, key -> new Led()));
    routes.forEach((key, r) -> r.lead(led.getOrDefault(key, Set.of()), sinceMillis, nowMillis));
    routes.values().removeIf(r -> r.isForgotten(oldest));
  }

  /**
   * Returns the services at which a stream may have begun.
   *
   * @param host host name of its requests, with or without a port
   * @param path path of its requests without the query
   * @param nowMillis monotonic time in milliseconds
   * @return services of the routes that matched, empty if none did
   */
  public Set<String> services(String host, String path, long nowMillis) {
    long oldest = nowMillis - KEEP_MILLIS;
    String name = ForwardingTable.withoutPort(host);
    List<Key> matching =
        routes.keySet().stream()
            .filter(k -> k.matches(name, path))
            .sorted(Comparator.comparingInt((Key k) -> k.pathPrefix().length()).reversed())
            .toList();
    Set<String> result = new HashSet<>();
    for (Key k : matching) {
      Led led = routes.get(k);
      result.addAll(led.since(oldest));
      if (!led.current.isEmpty() && led.currentSinceMillis < oldest) {
        // It has matched before all shorter prefixes for the whole time.
        break;
      }
    }
    return result;
  }

  /**
   * Returns the services that share a route with a service.
   *
   * @param service name of the service
   * @param nowMillis monotonic time in milliseconds
   * @return these and the service itself
   */
  public Set<String> servicesWith(String service, long nowMillis) {
    Set<String> result = new HashSet<>(Set.of(service));
    for (Led led : routes.values()) {
      Set<String> services = led.since(nowMillis - KEEP_MILLIS);
      if (services.contains(service)) {
        result.addAll(services);
      }
    }
    return result;
  }

  /**
   * Returns digests of the configurations that were in force at a time or later. Those that lead
   * all routes to the same services have the same digest.
   *
   * @param millis monotonic time in milliseconds
   * @return a copy
   */
  public Set<Long> digestsSince(long millis) {
    Set<Long> result = new HashSet<>();
    digestEndedAtMillis.forEach(
        (d, at) -> {
          if (at >= millis) {
            result.add(d);
          }
        });
    digest.ifPresent(result::add);
    return result;
  }

  /** Returns a number that all processes compute alike. */
  private static long digestOf(Map<Key, Set<String>> led) {
    long sum = led.size();
    for (Map.Entry<Key, Set<String>> e : led.entrySet()) {
      String text = e.getKey().host() + " " + e.getKey().pathPrefix() + " ";
      sum += hashOf(text + String.join(" ", new TreeSet<>(e.getValue())));
    }
    return sum;
  }

  private static long hashOf(String text) {
    CRC32C high = new CRC32C();
    CRC32 low = new CRC32();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    high.update(bytes);
    low.update(bytes);
    return (high.getValue() << Integer.SIZE) | low.getValue();
  }
}
