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
 * State machine of a SWIM-like membership protocol: merges updates, tracks suspicions and selects
 * updates for dissemination. A member is suspected only after direct and indirect probes have
 * failed, and is declared dead only if it does not refute the suspicion in time. A later refutation
 * reverts the declaration. Not thread-safe.
 */
public final class MemberTable {
  /** Transmissions of an update as a multiple of the binary logarithm of the number of members. */
  private static final int TRANSMIT_FACTOR = 3;

  private static final class Entry {
    MemberUpdate update;
    final long firstSeenAtMillis;
    long changedAtMillis;
    long lastMessageAtMillis;
    int transmissions;

    Entry(MemberUpdate update, long nowMillis) {
      this.update = update;
      this.firstSeenAtMillis = nowMillis;
      this.changedAtMillis = nowMillis;
      this.lastMessageAtMillis = Long.MIN_VALUE;
    }
  }

  private final MembershipLimits limits;
  private final LongSupplier random;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<MemberUpdate> changes = new ArrayList<>();
  private MemberUpdate self;
  private long lastTickAtMillis;

  /**
   * Creates a table that contains only this daemon.
   *
   * @param self update that describes this daemon as alive
   * @param limits constants of the protocol
   * @param random source of random bits
   * @param nowMillis monotonic time in milliseconds
   */
  public MemberTable(
      MemberUpdate self, MembershipLimits limits, LongSupplier random, long nowMillis) {
    this.self = Objects.requireNonNull(self, "self");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.random = Objects.requireNonNull(random, "random");
    this.lastTickAtMillis = nowMillis;
  }

  /**
   * Returns the current update of this daemon about itself.
   *
   * @return the update
   */
  public MemberUpdate self() {
    return self;
  }

  /** Sets the status of this daemon to leaving. */
  public void leave() {
    self = self.with(MemberStatus.LEAVING, self.refutation() + 1);
  }

  /**
   * Merges an update from another daemon.
   *
   * @param update the update
   * @param nowMillis monotonic time in milliseconds
   */
  public void merge(MemberUpdate update, long nowMillis) {
    if (update.incarnation().equals(self.incarnation())) {
      refute(update);
      return;
    }
    Entry e = entries.get(update.incarnation());
    if (e == null) {
      if (update.status() == MemberStatus.DEAD) {
        return;
      }
      entries.put(update.incarnation(), new Entry(update, nowMillis));
      changes.add(update);
    } else if (update.supersedes(e.update)) {
      apply(e, update, nowMillis);
    }
  }

  private void refute(MemberUpdate update) {
    boolean isAccusation =
        update.status() == MemberStatus.SUSPECT || update.status() == MemberStatus.DEAD;
    if (isAccusation && update.refutation() >= self.refutation()) {
      self = self.with(self.status(), update.refutation() + 1);
    }
  }

  private void apply(Entry e, MemberUpdate update, long nowMillis) {
    if (e.update.status() != update.status()) {
      e.changedAtMillis = nowMillis;
      changes.add(update);
    }
    e.update = update;
    e.transmissions = 0;
  }

  /**
   * Records a message received directly from a member. Older incarnations at the same address can
   * no longer be running and are declared dead.
   *
   * @param update update of the member about itself
   * @param nowMillis monotonic time in milliseconds
   * @return true if the member was not known before
   */
  public boolean onMessage(MemberUpdate update, long nowMillis) {
    final boolean isNew = !entries.containsKey(update.incarnation());
    merge(update, nowMillis);
    Entry sender = entries.get(update.incarnation());
    if (sender != null) {
      sender.lastMessageAtMillis = nowMillis;
    }
    for (Entry e : entries.values()) {
      boolean isReplaced =
          e.update.peerAddress().equals(update.peerAddress())
              && !e.update.incarnation().equals(update.incarnation())
              && e.update.status() != MemberStatus.DEAD;
      if (isReplaced && e.lastMessageAtMillis < nowMillis) {
        apply(e, e.update.with(MemberStatus.DEAD, e.update.refutation()), nowMillis);
      }
    }
    return isNew;
  }

  /**
   * Records that a member did not respond to direct and indirect probes.
   *
   * @param incarnation the member
   * @param nowMillis monotonic time in milliseconds
   */
  public void onProbeFailed(String incarnation, long nowMillis) {
    Entry e = entries.get(incarnation);
    if (e == null) {
      return;
    }
    MemberUpdate memberUpdate = e.update;
    if (memberUpdate.status() == MemberStatus.ALIVE) {
      apply(e, memberUpdate.with(MemberStatus.SUSPECT, memberUpdate.refutation()), nowMillis);
    } else if (memberUpdate.status() == MemberStatus.LEAVING) {
      apply(e, memberUpdate.with(MemberStatus.DEAD, memberUpdate.refutation()), nowMillis);
    }
  }

  /**
   * Declares suspects dead whose time to refute has expired, and removes members that died long
   * ago. After a pause of this process, the suspects' time is extended by the length of the pause,
   * since their refutations may still be unprocessed.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return status changes since the last call
   */
  public List<MemberUpdate> tick(long nowMillis) {
    long sinceLastTick = nowMillis - lastTickAtMillis;
    lastTickAtMillis = nowMillis;
    if (sinceLastTick > limits.maxPauseMillis()) {
      suspects().forEach(e -> e.changedAtMillis += sinceLastTick);
    }
    for (Entry e : suspects()) {
      if (nowMillis - e.changedAtMillis >= limits.suspicionMillis()) {
        expireSuspicion(e, nowMillis);
      }
    }
    entries
        .values()
        .removeIf(
            e ->
                e.update.status() == MemberStatus.DEAD
                    && nowMillis - e.changedAtMillis >= limits.tombstoneMillis());
    List<MemberUpdate> result = List.copyOf(changes);
    changes.clear();
    return result;
  }

  private void expireSuspicion(Entry e, long nowMillis) {
    if (e.lastMessageAtMillis > e.changedAtMillis) {
      e.changedAtMillis = nowMillis;
      return;
    }
    apply(e, e.update.with(MemberStatus.DEAD, e.update.refutation()), nowMillis);
  }

  private List<Entry> suspects() {
    return entries.values().stream()
        .filter(e -> e.update.status() == MemberStatus.SUSPECT)
        .toList();
  }

  /**
   * Returns the latest updates of all other members.
   *
   * @return the updates, including those of dead members
   */
  public List<MemberUpdate> others() {
    return entries.values().stream().map(e -> e.update).toList();
  }

  /**
   * Returns the latest update of a member.
   *
   * @param incarnation the member
   * @return the update, or empty if the member is unknown
   */
  public Optional<MemberUpdate> find(String incarnation) {
    return Optional.ofNullable(entries.get(incarnation)).map(e -> e.update);
  }

  /**
   * Selects the updates for a message: recent updates, each transmitted a number of times that
   * grows with the logarithm of the number of members, and updates of a few random members to
   * repair losses. If the receiver is suspected or declared dead, that update is always included so
   * that the receiver can refute it.
   *
   * @param receiver incarnation of the receiver, or empty if unknown
   * @param nowMillis monotonic time in milliseconds
   * @return the updates, bounded in number
   */
  public List<MemberUpdate> gossip(String receiver, long nowMillis) {
    Map<String, MemberUpdate> chosen = new LinkedHashMap<>();
    Entry receiverEntry = entries.get(receiver);
    if (receiverEntry != null && isAccusation(receiverEntry.update)) {
      chosen.put(receiver, receiverEntry.update);
    }
    int maxTransmissions =
        TRANSMIT_FACTOR * (32 - Integer.numberOfLeadingZeros(entries.size() + 1));
    List<Entry> recent = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (e.transmissions < maxTransmissions) {
        recent.add(e);
      }
    }
    recent.sort(Comparator.comparingInt(e -> e.transmissions));
    for (Entry e : recent.subList(0, Math.min(limits.maxUpdates(), recent.size()))) {
      e.transmissions++;
      chosen.put(e.update.incarnation(), e.update);
    }
    List<Entry> all = new ArrayList<>(entries.values());
    boolean isNewMember =
        receiverEntry != null
            && nowMillis - receiverEntry.firstSeenAtMillis < limits.newMemberMillis();
    int refreshCount = isNewMember ? limits.maxNewMemberRefresh() : limits.maxRefresh();
    for (int i = 0; i < refreshCount && !all.isEmpty(); i++) {
      MemberUpdate memberUpdate = all.get(randomIndex(all.size())).update;
      chosen.put(memberUpdate.incarnation(), memberUpdate);
    }
    return List.copyOf(chosen.values());
  }

  private static boolean isAccusation(MemberUpdate memberUpdate) {
    return memberUpdate.status() == MemberStatus.SUSPECT
        || memberUpdate.status() == MemberStatus.DEAD;
  }

  /**
   * Returns the initial member list for a joining daemon.
   *
   * @return the members that are not dead, bounded in number
   */
  public List<MemberUpdate> snapshot() {
    return entries.values().stream()
        .map(e -> e.update)
        .filter(memberUpdate -> memberUpdate.status() != MemberStatus.DEAD)
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
      picked.add(rest.remove(randomIndex(rest.size())));
    }
    return picked;
  }

  private int randomIndex(int bound) {
    return (int) Math.floorMod(random.getAsLong(), (long) bound);
  }
}
