package org.hibiscusreel.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded queue of requests that wait for an upstream. The order is worth per token, divided by the
 * client account's share of recent service, so that a large account can't starve the others. Not
 * thread-safe.
 *
 * @param <T> what waits
 */
public final class AdmissionQueue<T> {
  /** Time after which half of an account's service is forgotten, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 10_000;

  /**
   * A waiting request.
   *
   * @param item what waits
   * @param account client account
   * @param worth worth of the request
   * @param tokens its worst case, positive
   * @param latestStart latest monotonic time at which a start is worthwhile, in milliseconds
   * @param <T> what waits
   */
  public record Waiting<T>(T item, String account, double worth, long tokens, long latestStart) {
    double density() {
      return worth / Math.max(1, tokens);
    }
  }

  private static final class Service {
    double tokens;
    long at;
  }

  private final int capacity;
  private final List<Waiting<T>> waiting = new ArrayList<>();
  private final Map<String, Service> served = new HashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param capacity largest number of waiting requests, positive
   */
  public AdmissionQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be positive, but is " + capacity);
    }
    this.capacity = capacity;
  }

  /**
   * Adds a request. When the queue is full, the request of the lowest rank is removed, which may be
   * the new one.
   *
   * @param request the request
   * @param now monotonic time in milliseconds
   * @return the request that was removed and must be refused, or empty
   */
  public Optional<Waiting<T>> offer(Waiting<T> request, long now) {
    waiting.add(Objects.requireNonNull(request, "request"));
    if (waiting.size() <= capacity) {
      return Optional.empty();
    }
    Waiting<T> lowest = waiting.stream().min(ranking(now)).orElseThrow();
    waiting.remove(lowest);
    return Optional.of(lowest);
  }

  /**
   * Takes the requests whose latest start has passed.
   *
   * @param now monotonic time in milliseconds
   * @return the requests, which must be refused
   */
  public List<Waiting<T>> expire(long now) {
    List<Waiting<T>> late = waiting.stream().filter(w -> w.latestStart() < now).toList();
    waiting.removeAll(late);
    return late;
  }

  /**
   * Takes the request of the highest rank among those that can start.
   *
   * @param canStart whether a request can start now
   * @param now monotonic time in milliseconds
   * @return the request, or empty if none can start
   */
  public Optional<Waiting<T>> poll(Predicate<T> canStart, long now) {
    List<Waiting<T>> ranked = new ArrayList<>(waiting);
    ranked.sort(ranking(now).reversed());
    for (Waiting<T> w : ranked) {
      if (canStart.test(w.item())) {
        waiting.remove(w);
        return Optional.of(w);
      }
    }
    return Optional.empty();
  }

  /**
   * Removes a request that its caller gave up.
   *
   * @param item what waited
   * @return true if it was waiting
   */
  public boolean remove(T item) {
    return waiting.removeIf(w -> w.item().equals(item));
  }

  /**
   * Counts service given to a client account.
   *
   * @param account client account
   * @param tokens worst case of the request started
   * @param now monotonic time in milliseconds
   */
  public void onStarted(String account, long tokens, long now) {
    Service s = served.computeIfAbsent(account, k -> new Service());
    s.tokens = decayed(s, now) + tokens;
    s.at = now;
    if (served.size() > capacity * 4) {
      served.values().removeIf(x -> decayed(x, now) < 1);
    }
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return 0 to the capacity
   */
  public int size() {
    return waiting.size();
  }

  private Comparator<Waiting<T>> ranking(long now) {
    double sum = 0;
    for (Service s : served.values()) {
      sum += decayed(s, now);
    }
    double total = Math.max(1, sum);
    Map<String, Double> shares = new HashMap<>();
    served.forEach((account, s) -> shares.put(account, decayed(s, now) / total));
    return Comparator.comparingDouble(
        w -> w.density() / (1 + shares.size() * shares.getOrDefault(w.account(), 0.0)));
  }

  private static double decayed(Service s, long now) {
    return s.tokens * Math.pow(0.5, (now - s.at) / HALF_LIFE_MILLIS);
  }
}
