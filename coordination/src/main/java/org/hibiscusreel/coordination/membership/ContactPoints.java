package org.hibiscusreel.coordination.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/** Peer addresses at which a daemon may run: seeds, listed hosts and former members. */
final class ContactPoints {
  private static final int MAX_ADDRESSES = 1_024;

  private final Set<String> seeds;
  private final Set<String> others = new LinkedHashSet<>();

  ContactPoints(List<String> seeds) {
    this.seeds = new LinkedHashSet<>(seeds);
  }

  void add(String address) {
    if (address.isEmpty() || seeds.contains(address) || !others.add(address)) {
      return;
    }
    if (others.size() > MAX_ADDRESSES) {
      others.remove(others.iterator().next());
    }
  }

  void remove(String address) {
    others.remove(address);
  }

  /** Returns up to {@code count} distinct random addresses that are not excluded. */
  List<String> pick(Set<String> excluded, int count, LongSupplier random) {
    List<String> rest = new ArrayList<>(seeds);
    rest.addAll(others);
    rest.removeAll(excluded);
    List<String> picked = new ArrayList<>();
    while (picked.size() < count && !rest.isEmpty()) {
      picked.add(rest.remove((int) Math.floorMod(random.getAsLong(), (long) rest.size())));
    }
    return picked;
  }
}
