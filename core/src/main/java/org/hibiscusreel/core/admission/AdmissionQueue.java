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
 * Bounded priority queue of requests that wait for an upstream. Requests are ranked by worth per
 * token, reduced by the client account's share of recent service, so that a large account can't
 * starve the others. Not thread-safe.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionQueue<T> {
  /** Half-life of the service counted for an account, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 10_000;

  /**
   * Waiting request.
   *
   * @param item queued item
   * @param account client account
   * @param worth value of the request in the operators' unit
   * @param tokens tokens that the request consumes at most, positive
   * @param latestStartMillis latest monotonic time at which starting the request is still
   *     worthwhile, in milliseconds
   * @param <T> type of the queued item
   */
  public record Waiting<T>(
      T item, String account, double worth, long tokens, long latestStartMillis) {
    double worthPerToken() {
      return worth / Math.max(1, tokens);
    }
  }

  private static final class Service {
    double tokens;
    long lastUpdateMillis;
  }

  private final int capacity;
  private final List<Waiting<T>> waiting = new ArrayList<>();
  private final Map<String, Service> serviceByAccount = new HashMap<>();

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
   * Adds a request. If the queue is full, the lowest-ranked request is removed, which may be the
   * new one.
   *
   * @param request the request
   * @param nowMillis monotonic time in milliseconds
   * @return the request that was removed and must be refused, or empty
   */
  public Optional<Waiting<T>> offer(Waiting<T> request, long nowMillis) {
    waiting.add(Objects.requireNonNull(request, "request"));
    if (waiting.size() <= capacity) {
      return Optional.empty();
    }
    Waiting<T> lowest = waiting.stream().min(ranking(nowMillis)).orElseThrow();
    waiting.remove(lowest);
    return Optional.of(lowest);
  }

  /**
   * Removes and returns the requests whose latest start has passed.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the removed requests, which must be refused
   */
  public List<Waiting<T>> expire(long nowMillis) {
    List<Waiting<T>> expired =
        waiting.stream().filter(w -> w.latestStartMillis() < nowMillis).toList();
    waiting.removeAll(expired);
    return expired;
  }

  /**
   * Removes and returns the highest-ranked request among those that can start.
   *
   * @param canStart tells whether an item can start now
   * @param nowMillis monotonic time in milliseconds
   * @return the request, or empty if none can start
   */
  public Optional<Waiting<T>> poll(Predicate<T> canStart, long nowMillis) {
    List<Waiting<T>> ranked = new ArrayList<>(waiting);
    ranked.sort(ranking(nowMillis).reversed());
    for (Waiting<T> w : ranked) {
      if (canStart.test(w.item())) {
        waiting.remove(w);
        return Optional.of(w);
      }
    }
    return Optional.empty();
  }

  /**
   * Removes a request that its caller has cancelled.
   *
   * @param item queued item
   * @return true if it was waiting
   */
  public boolean remove(T item) {
    return waiting.removeIf(w -> w.item().equals(item));
  }

  /**
   * Counts service provided to a client account.
   *
   * @param account client account
   * @param tokens tokens that the started request consumes at most
   * @param nowMillis monotonic time in milliseconds
   */
  public void onStarted(String account, long tokens, long nowMillis) {
    Service s = serviceByAccount.computeIfAbsent(account, k -> new Service());
    s.tokens = decayedTokens(s, nowMillis) + tokens;
    s.lastUpdateMillis = nowMillis;
    if (serviceByAccount.size() > capacity * 4) {
      serviceByAccount.values().removeIf(x -> decayedTokens(x, nowMillis) < 1);
    }
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number from 0 to the capacity
   */
  public int size() {
    return waiting.size();
  }

  private Comparator<Waiting<T>> ranking(long nowMillis) {
    double sum = 0;
    for (Service s : serviceByAccount.values()) {
      sum += decayedTokens(s, nowMillis);
    }
    double total = Math.max(1, sum);
    Map<String, Double> serviceShares = new HashMap<>();
    serviceByAccount.forEach(
        (account, s) -> serviceShares.put(account, decayedTokens(s, nowMillis) / total));
    return Comparator.comparingDouble(
        w ->
            w.worthPerToken()
                / (1 + serviceShares.size() * serviceShares.getOrDefault(w.account(), 0.0)));
  }

  private static double decayedTokens(Service s, long nowMillis) {
    return s.tokens * Math.pow(0.5, (nowMillis - s.lastUpdateMillis) / HALF_LIFE_MILLIS);
  }
}
