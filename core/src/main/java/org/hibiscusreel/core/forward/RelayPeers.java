package org.hibiscusreel.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Chooses the daemon that relays a request. One that could not relay is avoided for a while. Not
 * thread-safe.
 */
public final class RelayPeers {

  /** Time in milliseconds for which a daemon is avoided that could not relay. */
  public static final long AVOIDED_MILLIS = 1_000;

  private final LongSupplier random;
  private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
  private List<String> peers = List.of();
  private boolean allFailed;

  /**
   * Creates a choice among no daemons.
   *
   * @param random source of random bits
   * @throws NullPointerException if the argument is null
   */
  public RelayPeers(LongSupplier random) {
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Sets the other daemons.
   *
   * @param addresses their addresses
   */
  public void onPeers(List<String> addresses) {
    peers = List.copyOf(addresses);
    avoidedUntilMillis.keySet().retainAll(peers);
  }

  /** Forgets which daemons could not relay. */
  public void reset() {
    avoidedUntilMillis.clear();
    allFailed = false;
  }

  /**
   * Chooses a daemon.
   *
   * @param tried daemons that are not chosen again
   * @param nowMillis monotonic time in milliseconds
   * @return its address, or empty if none is left
   */
  public Optional<String> choose(Set<String> tried, long nowMillis) {
    List<String> usable =
        peers.stream().filter(p -> !tried.contains(p) && !isAvoided(p, nowMillis)).toList();
    return usable.isEmpty()
        ? Optional.empty()
        : Optional.of(usable.get((int) Math.floorMod(random.getAsLong(), (long) usable.size())));
  }

  private boolean isAvoided(String peer, long nowMillis) {
    return nowMillis < avoidedUntilMillis.getOrDefault(peer, Long.MIN_VALUE);
  }

  /**
   * Tells whether a daemon may be asked to relay.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if at least one is known that is not avoided
   */
  public boolean hasUsable(long nowMillis) {
    return peers.stream().anyMatch(p -> !isAvoided(p, nowMillis));
  }

  /**
   * Records that a daemon relayed a request.
   *
   * @param peer its address
   */
  public void onRelayed(String peer) {
    avoidedUntilMillis.remove(peer);
    allFailed = false;
  }

  /**
   * Records that a daemon could not relay a request.
   *
   * @param peer its address
   * @param nowMillis monotonic time in milliseconds
   */
  public void onUnusable(String peer, long nowMillis) {
    avoidedUntilMillis.put(peer, nowMillis + AVOIDED_MILLIS);
    allFailed |= !hasUsable(nowMillis);
  }

  /**
   * Tells whether no daemon is known that relays. This lasts until one has relayed a request, not
   * only until the next one may be asked.
   *
   * @return true if there are no other daemons, or all of them were avoided at once
   */
  public boolean isNoneWorking() {
    return peers.isEmpty() || allFailed;
  }
}
