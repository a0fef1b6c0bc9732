package org.hibiscusreel.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * State machine of SWIM-like membership: merges statements, keeps suspicions and chooses what to
 * pass on. A member is suspected only after direct and indirect probes failed, and is declared dead
 * only if it does not refute in time; death is reversible by a refutation. Not thread-safe.
 */
public final class MemberTable {
  private static final int TRANSMIT_FACTOR = 3;

  private static final class Entry {
    MemberUpdate update;
    final long firstSeenAt;
    long changedAt;
    long heardAt;
    int sent;

    Entry(MemberUpdate update, long now) {
      this.update = update;
      this.firstSeenAt = now;
      this.changedAt = now;
      this.heardAt = Long.MIN_VALUE;
    }
  }

  private final MembershipLimits limits;
  private final LongSupplier random;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<MemberUpdate> changes = new ArrayList<>();
  private MemberUpdate self;
  private long tickedAt;

  /**
   * Creates a table that knows only this daemon.
   *
   * @param self this daemon, alive
   * @param limits constants of the protocol
   * @param random source of random bits
   * @param now monotonic time in milliseconds
   */
  public MemberTable(MemberUpdate self, MembershipLimits limits, LongSupplier random, long now) {
    this.self = Objects.requireNonNull(self, "self");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.random = Objects.requireNonNull(random, "random");
    this.tickedAt = now;
  }

  /**
   * Returns the statement of this daemon about itself.
   *
   * @return the statement
   */
  public MemberUpdate self() {
    return self;
  }

  /** Announces that this daemon is leaving. */
  public void leave() {
    self = self.with(MemberStatus.LEAVING, self.refutation() + 1);
  }

  /**
   * Merges a statement from another daemon.
   *
   * @param update the statement
   * @param now monotonic time in milliseconds
   */
  public void merge(MemberUpdate update, long now) {
    if (update.incarnation().equals(self.incarnation())) {
      refute(update);
      return;
    }
    Entry e = entries.get(update.incarnation());
    if (e == null) {
      if (update.status() == MemberStatus.DEAD) {
        return;
      }
      entries.put(update.incarnation(), new Entry(update, now));
      changes.add(update);
    } else if (update.supersedes(e.update)) {
      apply(e, update, now);
    }
  }

  private void refute(MemberUpdate claim) {
    boolean accusation =
        claim.status() == MemberStatus.SUSPECT || claim.status() == MemberStatus.DEAD;
    if (accusation && claim.refutation() >= self.refutation()) {
      self = self.with(self.status(), claim.refutation() + 1);
    }
  }

  private void apply(Entry e, MemberUpdate update, long now) {
    if (e.update.status() != update.status()) {
      e.changedAt = now;
      changes.add(update);
    }
    e.update = update;
    e.sent = 0;
  }

  /**
   * Takes into account that a message came directly from a member. An older run at the same address
   * can't be running any more.
   *
   * @param update what the member states about itself
   * @param now monotonic time in milliseconds
   * @return true if the member was not known before
   */
  public boolean heardFrom(MemberUpdate update, long now) {
    final boolean isNew = !entries.containsKey(update.incarnation());
    merge(update, now);
    Entry heard = entries.get(update.incarnation());
    if (heard != null) {
      heard.heardAt = now;
    }
    for (Entry e : entries.values()) {
      boolean replaced =
          e.update.peerAddress().equals(update.peerAddress())
              && !e.update.incarnation().equals(update.incarnation())
              && e.update.status() != MemberStatus.DEAD;
      if (replaced && e.heardAt < now) {
        apply(e, e.update.with(MemberStatus.DEAD, e.update.refutation()), now);
      }
    }
    return isNew;
  }

  /**
   * Takes into account that a member did not respond to direct and indirect probes.
   *
   * @param incarnation the member
   * @param now monotonic time in milliseconds
   */
  public void probeFailed(String incarnation, long now) {
    Entry e = entries.get(incarnation);
    if (e == null) {
      return;
    }
    MemberUpdate u = e.update;
    if (u.status() == MemberStatus.ALIVE) {
      apply(e, u.with(MemberStatus.SUSPECT, u.refutation()), now);
    } else if (u.status() == MemberStatus.LEAVING) {
      apply(e, u.with(MemberStatus.DEAD, u.refutation()), now);
    }
  }

  /**
   * Declares suspects dead whose time is over and forgets old dead members. After a pause of this
   * process the suspects get the length of the pause in addition, since their refutations wait
   * unread.
   *
   * @param now monotonic time in milliseconds
   * @return changes of status since the last call
   */
  public List<MemberUpdate> tick(long now) {
    long gap = now - tickedAt;
    tickedAt = now;
    if (gap > limits.maxPauseMillis()) {
      suspects().forEach(e -> e.changedAt += gap);
    }
    for (Entry e : suspects()) {
      if (now - e.changedAt >= limits.suspicionMillis()) {
        expire(e, now);
      }
    }
    entries
        .values()
        .removeIf(
            e ->
                e.update.status() == MemberStatus.DEAD
                    && now - e.changedAt >= limits.tombstoneMillis());
    List<MemberUpdate> result = List.copyOf(changes);
    changes.clear();
    return result;
  }

  private void expire(Entry e, long now) {
    if (e.heardAt > e.changedAt) {
      e.changedAt = now;
      return;
    }
    apply(e, e.update.with(MemberStatus.DEAD, e.update.refutation()), now);
  }

  private List<Entry> suspects() {
    return entries.values().stream()
        .filter(e -> e.update.status() == MemberStatus.SUSPECT)
        .toList();
  }

  /**
   * Returns the newest statements about all other members.
   *
   * @return the statements, also about dead members
   */
  public List<MemberUpdate> others() {
    return entries.values().stream().map(e -> e.update).toList();
  }

  /**
   * Returns the newest statement about a member.
   *
   * @param incarnation the member
   * @return the statement, or empty if it is not known
   */
  public Optional<MemberUpdate> find(String incarnation) {
    return Optional.ofNullable(entries.get(incarnation)).map(e -> e.update);
  }

  /**
   * Chooses the statements of a message: recent updates, each passed on a number of times that
   * grows with the logarithm of the number of members, and a few random members that repair lost
   * updates. What is believed of the receiver is always included if it needs a refutation.
   *
   * @param receiver incarnation of the receiver, or empty if unknown
   * @param now monotonic time in milliseconds
   * @return the statements, bounded in number
   */
  public List<MemberUpdate> gossip(String receiver, long now) {
    Map<String, MemberUpdate> chosen = new LinkedHashMap<>();
    Entry target = entries.get(receiver);
    if (target != null && isAccusation(target.update)) {
      chosen.put(receiver, target.update);
    }
    int maxSent = TRANSMIT_FACTOR * (32 - Integer.numberOfLeadingZeros(entries.size() + 1));
    List<Entry> recent = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.sent < maxSent) {
        recent.add(e);
      }
    }
    recent.sort(Comparator.comparingInt(e -> e.sent));
    for (Entry e : recent.subList(0, Math.min(limits.maxUpdates(), recent.size()))) {
      e.sent++;
      chosen.put(e.update.incarnation(), e.update);
    }
    List<Entry> all = new ArrayList<>(entries.values());
    boolean young = target != null && now - target.firstSeenAt < limits.youngMillis();
    int refresh = young ? limits.maxYoungRefresh() : limits.maxRefresh();
    for (int i = 0; i < refresh && !all.isEmpty(); i++) {
      MemberUpdate u = all.get(index(all.size())).update;
      chosen.put(u.incarnation(), u);
    }
    return List.copyOf(chosen.values());
  }

  private static boolean isAccusation(MemberUpdate u) {
    return u.status() == MemberStatus.SUSPECT || u.status() == MemberStatus.DEAD;
  }

  /**
   * Returns the members that a joining daemon needs.
   *
   * @return the members that are not dead, bounded in number
   */
  public List<MemberUpdate> snapshot() {
    return entries.values().stream()
        .map(e -> e.update)
        .filter(u -> u.status() != MemberStatus.DEAD)
        .limit(limits.maxMembers())
        .toList();
  }

  /**
   * Picks random members.
   *
   * @param from the members to pick from
   * @param count largest number of members
   * @return distinct members
   */
  public List<MemberUpdate> pick(Collection<MemberUpdate> from, int count) {
    List<MemberUpdate> rest = new ArrayList<>(from);
    List<MemberUpdate> picked = new ArrayList<>();
    while (picked.size() < count && !rest.isEmpty()) {
      picked.add(rest.remove(index(rest.size())));
    }
    return picked;
  }

  private int index(int bound) {
    return (int) Math.floorMod(random.getAsLong(), (long) bound);
  }
}
