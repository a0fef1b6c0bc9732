package org.hibiscusreel.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous hashing: all daemons compute the same ranking of the members for a key. */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Ranks members for a key.
   *
   * @param members the members, not null
   * @param name function that returns the name of a member, the same on all daemons
   * @param key the key
   * @param <T> type of a member
   * @return the members, best first
   */
  public static <T> List<T> rank(List<T> members, Function<T, String> name, String key) {
    record Scored<T>(T member, String name, long score) {}

    List<Scored<T>> scored = new ArrayList<>(members.size());
    for (T m : members) {
      String n = name.apply(m);
      scored.add(new Scored<>(m, n, score(n, key)));
    }
    scored.sort(
        Comparator.<Scored<T>>comparingLong(Scored::score).reversed().thenComparing(Scored::name));
    return scored.stream().map(Scored::member).toList();
  }

  /**
   * Returns the score of a member for a key.
   *
   * @param name name of the member
   * @param key the key
   * @return a uniformly distributed 64-bit hash
   */
  public static long score(String name, String key) {
    long h = fnv(fnv(FNV_OFFSET, key), name);
    h ^= h >>> 33;
    h *= 0xff51afd7ed558ccdL;
    h ^= h >>> 33;
    h *= 0xc4ceb9fe1a85ec53L;
    return h ^ (h >>> 33);
  }

  private static long fnv(long initialHash, String text) {
    long h = initialHash;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return h * FNV_PRIME;
  }
}
