package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.membership.RendezvousHash;

/**
 * Copies of the rows that daemons write for their hosts, each kept by a few other daemons. Used
 * only on the event loop thread.
 */
public final class HolderCopies {

  /** Delay in milliseconds after which a row is sent once more, since messages may be lost. */
  static final long REPEAT_DELAY_MILLIS = 500;

  /** Number of daemons that keep the rows of one host, so that several may end with it. */
  static final int KEEPERS = 4;

  /** Largest number of rows in one message, so that it fits into a datagram. */
  static final int MAX_ROWS = 20;

  /** Largest number of rows that are kept. */
  static final int MAX_KEPT = 20_000;

  private record Holder(String account, String host) {}

  private final Scheduler scheduler;
  private final HolderTransport transport;
  private final String address;
  private final Map<Holder, HolderCopy> kept = new HashMap<>();
  private final Map<String, HolderCopy> unrepeated = new LinkedHashMap<>();
  private List<String> keepers = List.of();

  /**
   * Creates an exchange without peers.
   *
   * @param scheduler clock and delayed tasks
   * @param transport sends and receives the rows
   * @param address address at which this daemon receives messages
   * @throws NullPointerException if an argument is null
   */
  public HolderCopies(Scheduler scheduler, HolderTransport transport, String address) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.address = Objects.requireNonNull(address, "address");
  }

  /** Starts to receive the rows of other daemons. */
  public void start() {
    transport.receiveHolders(this::keep);
  }

  /**
   * Sets the addresses of the other daemons.
   *
   * @param addresses addresses at which they receive messages
   */
  public void onPeers(List<String> addresses) {
    keepers = RendezvousHash.rank(addresses, a -> a, address).stream().limit(KEEPERS).toList();
  }

  private void keep(HolderCopy copy) {
    Holder holder = new Holder(copy.account(), copy.host());
    HolderCopy known = kept.get(holder);
    if (known == null ? kept.size() < MAX_KEPT : copy.isNewerThan(known)) {
      kept.put(holder, copy);
    }
  }

  /**
   * Tells other daemons of a row that this daemon has written, before it spends what it drew with
   * the row.
   */
  void publish(HolderCopy copy) {
    send(List.of(copy));
    if (unrepeated.isEmpty()) {
      scheduler.schedule(REPEAT_DELAY_MILLIS, this::repeat);
    }
    unrepeated.put(copy.account(), copy);
  }

  private void repeat() {
    send(unrepeated.values());
    unrepeated.clear();
  }

  private void send(Collection<HolderCopy> copies) {
    List<HolderCopy> all = new ArrayList<>(copies);
    for (int i = 0; i < all.size() && !keepers.isEmpty(); i += MAX_ROWS) {
      transport.sendHolders(keepers, all.subList(i, Math.min(all.size(), i + MAX_ROWS)));
    }
  }

  /** Returns the newest known row of each other host. */
  Collection<HolderCopy> all() {
    return kept.values();
  }
}
