package org.hibiscusreel.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Upstreams that are leaving, as last-writer-wins registers per source and upstream. A register
 * travels as {@code source:name@stamp}, with a minus sign before the stamp when the upstream was
 * returned. Not thread-safe.
 */
public final class LeavingUpstreams {
  /** Time that a returned upstream is remembered, so that an old statement can't revive. */
  public static final long RETURNED_MEMORY_MILLIS = 600_000;

  /** Largest number of registers in one message. */
  public static final int MAX_PER_MESSAGE = 64;

  private static final int MAX_REGISTERS = 4_096;

  /** Who states that an upstream is leaving. */
  public enum Source {
    /** A call of this library. */
    MARK,
    /** A load report of the upstream. */
    LOAD,
    /** The platform's host list. */
    HOSTS
  }

  private record Key(Source source, String upstream) {}

  private record Register(boolean leaving, long stamp) {}

  private final Map<Key, Register> registers = new HashMap<>();

  /**
   * Records what a source states.
   *
   * @param source the source
   * @param upstream name of the upstream, not empty
   * @param leaving whether it is leaving
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return true if this changes the register
   */
  public boolean state(Source source, String upstream, boolean leaving, long wallMillis) {
    Objects.requireNonNull(source, "source");
    Key k = new Key(source, upstream);
    Register old = registers.get(k);
    boolean wasLeaving = old != null && old.leaving();
    if (wasLeaving == leaving) {
      return false;
    }
    long stamp = old == null ? wallMillis : Math.max(wallMillis, old.stamp() + 1);
    registers.put(k, new Register(leaving, stamp));
    return true;
  }

  /**
   * Returns when a source last changed its statement.
   *
   * @param source the source
   * @param upstream name of the upstream
   * @return wall-clock time in milliseconds since the epoch, or empty if it stated nothing
   */
  public Optional<Long> changedAt(Source source, String upstream) {
    return Optional.ofNullable(registers.get(new Key(source, upstream))).map(Register::stamp);
  }

  /**
   * Returns the upstreams that any source states are leaving.
   *
   * @return names in order
   */
  public Set<String> names() {
    Set<String> s = new TreeSet<>();
    registers.forEach(
        (k, r) -> {
          if (r.leaving()) {
            s.add(k.upstream());
          }
        });
    return s;
  }

  /**
   * Merges registers of another daemon. Malformed entries are ignored.
   *
   * @param encoded registers as returned by {@link #encode}
   * @return true if a register changed
   */
  public boolean merge(List<String> encoded) {
    boolean changed = false;
    for (String e : encoded) {
      changed |= mergeOne(e);
    }
    return changed;
  }

  private boolean mergeOne(String entry) {
    int colon = entry.indexOf(':');
    int at = entry.lastIndexOf('@');
    if (colon < 1 || at <= colon + 1) {
      return false;
    }
    Key k;
    long signed;
    try {
      k = new Key(Source.valueOf(entry.substring(0, colon)), entry.substring(colon + 1, at));
      signed = Long.parseLong(entry.substring(at + 1));
    } catch (IllegalArgumentException e) {
      return false;
    }
    Register received = new Register(signed >= 0, Math.abs(signed));
    Register old = registers.get(k);
    if (old == null && registers.size() >= MAX_REGISTERS) {
      return false;
    }
    if (old != null && !isNewer(received, old)) {
      return false;
    }
    registers.put(k, received);
    return true;
  }

  private static boolean isNewer(Register a, Register b) {
    if (a.stamp() != b.stamp()) {
      return a.stamp() > b.stamp();
    }
    return a.leaving() && !b.leaving();
  }

  /**
   * Encodes the newest registers for a message.
   *
   * @return at most {@link #MAX_PER_MESSAGE} entries
   */
  public List<String> encode() {
    List<Map.Entry<Key, Register>> all = new ArrayList<>(registers.entrySet());
    all.sort(
        Comparator.comparingLong((Map.Entry<Key, Register> e) -> e.getValue().stamp())
            .reversed()
            .thenComparing(e -> e.getKey().upstream()));
    return all.stream().limit(MAX_PER_MESSAGE).map(e -> encode(e.getKey(), e.getValue())).toList();
  }

  private static String encode(Key k, Register r) {
    return k.source() + ":" + k.upstream() + "@" + (r.leaving() ? "" : "-") + r.stamp();
  }

  /**
   * Forgets old returns.
   *
   * @param wallMillis wall-clock time in milliseconds since the epoch
   */
  public void expire(long wallMillis) {
    registers
        .values()
        .removeIf(r -> !r.leaving() && r.stamp() + RETURNED_MEMORY_MILLIS < wallMillis);
  }
}
