package org.hibiscusreel.bench.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;

/** Cache of prompt prefixes in limited memory, evicted by least recent use. */
final class PrefixCache {

  /** Characters of the prompt in one block. */
  static final int BLOCK_CHARS = 256;

  /** Events kept for readers; older ones are a gap for a late reader. */
  private static final int MAX_EVENTS = 10_000;

  /** An event as it is served. */
  record Event(long seq, String kind, String prefixHash, long visibleAtMillis) {}

  private final int capacity;
  private final int lagMillis;
  private final double gap;
  private final Random random;
  private final LongSupplier now;
  private final LinkedHashMap<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Event> events = new ArrayList<>();
  private long seq;

  PrefixCache(int capacity, int lagMillis, double gap, long seed, LongSupplier now) {
    this.capacity = capacity;
    this.lagMillis = lagMillis;
    this.gap = gap;
    this.random = new Random(seed);
    this.now = now;
  }

  /** Returns the hashes of growing prefixes in whole blocks, shortest first. */
  static List<String> hashes(String prompt) {
    List<String> all = new ArrayList<>();
    for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
      all.add(Generation.sha256(prompt.substring(0, end)).substring(0, 32));
    }
    return all;
  }

  /**
   * Looks up a prompt and stores its blocks.
   *
   * @return the part of the prompt that was cached, from 0 to 1
   */
  double use(String prompt) {
    List<String> hashes = hashes(prompt);
    int hits = 0;
    while (hits < hashes.size() && blocks.get(hashes.get(hits)) != null) {
      hits++;
    }
    for (String h : hashes.subList(hits, hashes.size())) {
      blocks.put(h, true);
      emit("stored", h);
    }
    while (blocks.size() > capacity) {
      String oldest = blocks.keySet().iterator().next();
      blocks.remove(oldest);
      emit("evicted", oldest);
    }
    return (double) hits * BLOCK_CHARS / prompt.length();
  }

  /** Loses the content, as a crashed process does; nobody is told. */
  void clear() {
    blocks.clear();
  }

  /** Returns the visible events after a sequence number, in order. */
  List<Map<String, Object>> eventsAfter(long after) {
    long t = now.getAsLong();
    List<Map<String, Object>> found = new ArrayList<>();
    for (Event e : events) {
      if (e.seq() > after && e.visibleAtMillis() <= t) {
        found.add(Map.of("seq", e.seq(), "kind", e.kind(), "prefix_hash", e.prefixHash()));
      }
    }
    return found;
  }

  private void emit(String kind, String hash) {
    seq++;
    if (gap > 0 && random.nextDouble() < gap) {
      return;
    }
    events.add(new Event(seq, kind, hash, now.getAsLong() + lagMillis));
    if (events.size() > MAX_EVENTS) {
      events.subList(0, MAX_EVENTS / 2).clear();
    }
  }
}
