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
 * Set of the upstreams that are leaving, replicated as one last-writer-wins register per source and
 * upstream. A register is encoded as {@code source:name@stamp}, with a minus sign before the stamp
 * if the upstream was returned to service. Not thread-safe.
 */
public final class LeavingUpstreams {
  /**
   * Time for which the register of a returned upstream is kept, in milliseconds, so that a delayed
   * older register can't take effect again.
   */
  public static final long RETURNED_RETENTION_MILLIS = 600_000;

  /** Largest number of registers in one message. */
  public static final int MAX_PER_MESSAGE = 64;

  private static final int MAX_REGISTERS = 4_096;

  /** Source of the information that an upstream is leaving. */
  public enum Source {
    /** Explicit call through the membership API. */
    MARK,
    /** Load report of the upstream. */
    LOAD,
    /** Host list of the platform. */
    HOSTS
  }

  private record Key(Source source, String upstream) {}

  private record Register(boolean leaving, long stamp) {}

  private final Map<Key, Register> registers = new HashMap<>();

  /**
   * Sets the register of a source.
   *
   * @param source the source
   * @param upstream name of the upstream, not empty
   * @param leaving whether the upstream is leaving
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return true if this changes the register
   */
  public boolean setRegister(Source source, String upstream, boolean leaving, long wallMillis) {
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
   * Returns the time of the last change of a register.
   *
   * @param source the source
   * @param upstream name of the upstream
   * @return wall-clock time in milliseconds since the epoch, or empty if the register is not set
   */
  public Optional<Long> changedAt(Source source, String upstream) {
    return Optional.ofNullable(registers.get(new Key(source, upstream))).map(Register::stamp);
  }

  /**
   * Returns the upstreams that are leaving according to at least one source.
   *
   * @return names in alphabetical order
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
   * Merges the registers of another daemon. Malformed entries are ignored.
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
   * Encodes the most recently changed registers for a message.
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
   * Removes the expired registers of returned upstreams.
   *
   * @param wallMillis wall-clock time in milliseconds since the epoch
   */
  public void expire(long wallMillis) {
    registers
        .values()
        .removeIf(r -> !r.leaving() && r.stamp() + RETURNED_RETENTION_MILLIS < wallMillis);
  }
}
