package org.hibiscusreel.bench.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongSupplier;

/** Cache of prompt prefixes with a limited number of blocks and least-recently-used eviction. */
final class PrefixCache {

  /** Number of prompt characters per block. */
  static final int BLOCK_CHARS = 256;

  /** Maximum number of events kept; a late reader sees a gap where older events were removed. */
  private static final int MAX_EVENTS = 10_000;

  /** A cache event; readers see it from the given time on. */
  record Event(long seq, String kind, String prefixHash, long visibleAtMillis) {}

  private final int capacityBlocks;
  private final int lagMillis;
  private final double eventLossProbability;
  private final Random random;
  private final LongSupplier clock;
  private final LinkedHashMap<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Event> events = new ArrayList<>();
  private long seq;

  PrefixCache(
      int capacityBlocks,
      int lagMillis,
      double eventLossProbability,
      long seed,
      LongSupplier clock) {
    this.capacityBlocks = capacityBlocks;
    this.lagMillis = lagMillis;
    this.eventLossProbability = eventLossProbability;
    this.random = new Random(seed);
    this.clock = clock;
  }

  /** Returns the hashes of all prefixes of whole blocks, shortest first. */
  static List<String> prefixHashes(String prompt) {
    List<String> all = new ArrayList<>();
    for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
      all.add(Generation.sha256(prompt.substring(0, end)).substring(0, 32));
    }
    return all;
  }

  /**
   * Looks up the blocks of a prompt and stores those that are missing.
   *
   * @return the fraction of the prompt that was cached, from 0 to 1
   */
  double lookUpAndStore(String prompt) {
    List<String> hashes = prefixHashes(prompt);
    int hits = 0;
    while (hits < hashes.size() && blocks.get(hashes.get(hits)) != null) {
      hits++;
    }
    for (String hash : hashes.subList(hits, hashes.size())) {
      blocks.put(hash, true);
      addEvent("stored", hash);
    }
    while (blocks.size() > capacityBlocks) {
      String oldest = blocks.keySet().iterator().next();
      blocks.remove(oldest);
      addEvent("evicted", oldest);
    }
    return (double) hits * BLOCK_CHARS / prompt.length();
  }

  /** Clears the cache without events, as a crash of the process does. */
  void clear() {
    blocks.clear();
  }

  /** Returns the visible events after a sequence number, in order. */
  List<Map<String, Object>> eventsAfter(long after) {
    long nowMillis = clock.getAsLong();
    List<Map<String, Object>> found = new ArrayList<>();
    for (Event event : events) {
      if (event.seq() > after && event.visibleAtMillis() <= nowMillis) {
        found.add(
            Map.of("seq", event.seq(), "kind", event.kind(), "prefix_hash", event.prefixHash()));
      }
    }
    return found;
  }

  private void addEvent(String kind, String hash) {
    seq++;
    if (eventLossProbability > 0 && random.nextDouble() < eventLossProbability) {
      return;
    }
    events.add(new Event(seq, kind, hash, clock.getAsLong() + lagMillis));
    if (events.size() > MAX_EVENTS) {
      events.subList(0, MAX_EVENTS / 2).clear();
    }
  }
}
