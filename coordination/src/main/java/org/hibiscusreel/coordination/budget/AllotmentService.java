package org.hibiscusreel.coordination.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.HandOverEntry;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.wire.HandOverRequest;
import org.hibiscusreel.wire.HandOverResponse;
import org.hibiscusreel.wire.ReleaseRequest;
import org.hibiscusreel.wire.ReleaseResponse;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.hibiscusreel.wire.SettleRequest;
import org.hibiscusreel.wire.SettleResponse;

/**
 * Reserves tokens at the holders of this failure domain and holds allotments for them. Spending is
 * taken only from tokens that were drawn in the platform before.
 */
public final class AllotmentService implements BudgetReservations {

  private static final int RANKS = 3;
  private static final long RESPONSE_SLACK_MILLIS = 100;
  private static final long MAINTENANCE_INTERVAL_MILLIS = 30_000;
  private static final long STOP_POLL_MILLIS = 50;

  /** Time to return tokens at a stop before the ledger is handed over. */
  private static final long RETURN_TIMEOUT_MILLIS = 5_000;

  private static final long WRITE_TIMEOUT_MILLIS = 1_000;

  private final Scheduler scheduler;
  private final TableService table;
  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder events;
  private final LongSupplier random;
  private final long drainTimeoutMillis;
  private final AllotmentHolder holder;
  private final SettlementOutbox outbox;
  private final HandOverSender handOvers;
  private final Map<String, Reservation> openHere = new HashMap<>();
  private final Set<String> deadHolders = new HashSet<>();
  private Cancellable maintenance = () -> {};
  private boolean isRegistered;
  private boolean isStopping;
  private boolean isHandedOver;
  private long reservations;

  /**
   * Creates the service.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param peers calls to other daemons
   * @param membership the other daemons
   * @param configuration names the failure domains
   * @param events records the time line
   * @param random source of random bits
   * @param drainTimeoutMillis longest time that a stop waits for open reservations
   */
  public AllotmentService(
      Scheduler scheduler,
      TableService table,
      PeerTransport peers,
      MembershipView membership,
      ConfigurationView configuration,
      EventRecorder events,
      LongSupplier random,
      long drainTimeoutMillis) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.events = Objects.requireNonNull(events, "events");
    this.random = Objects.requireNonNull(random, "random");
    this.drainTimeoutMillis = drainTimeoutMillis;
    ReleaseRequester releases = new ReleaseRequester(peers, membership, configuration, events);
    AllotmentPlatform platform =
        new AllotmentPlatform(
            scheduler, table, events, releases, () -> releases.failureDomains().size(), random);
    this.holder = new AllotmentHolder(scheduler, events, platform, self());
    this.handOvers = new HandOverSender(peers, membership, events);
    this.outbox =
        new SettlementOutbox(
            scheduler,
            peers,
            membership,
            events,
            random,
            id -> !isHandedOver && holder.canSettle(id),
            holder::settle);
  }

  /** Starts the periodic return of surplus. */
  public void start() {
    long jitter = Math.floorMod(random.getAsLong(), MAINTENANCE_INTERVAL_MILLIS / 2);
    maintenance =
        scheduler.schedule(
            MAINTENANCE_INTERVAL_MILLIS / 2 + jitter,
            () -> {
              holder.maintain();
              start();
            });
  }

  /**
   * Allows to reserve, to grant and to take over ledgers. An incarnation that is not registered
   * must do none of these: its bills could not be recovered after a crash, and the allotment of a
   * dead holder would be reclaimed without its acknowledgement.
   */
  public void markRegistered() {
    isRegistered = true;
  }

  /**
   * Tells whether this incarnation is registered in the platform.
   *
   * @return true if it may reserve
   */
  public boolean isRegistered() {
    return isRegistered;
  }

  @Override
  public CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis) {
    Objects.requireNonNull(budget, "budget");
    if (tokens <= 0) {
      throw new IllegalArgumentException("tokens must be positive, but is " + tokens);
    }
    if (!isRegistered) {
      return CompletableFuture.completedFuture(
          new ReservationResult.Unavailable("the daemon is not registered yet"));
    }
    List<MemberInfo> ranked = membership.rank(membership.self().failureDomain(), budget);
    List<MemberInfo> targets = new ArrayList<>(ranked.subList(0, Math.min(RANKS, ranked.size())));
    if (targets.isEmpty()) {
      targets.add(membership.self());
    }
    long deadline = scheduler.nowMillis() + waitMillis;
    ReserveCall call = new ReserveCall(budget, key.account(), key.requestId(), "", tokens, self());
    return reserveAt(call, targets.iterator(), targets.size(), deadline, Optional.empty());
  }

  private CompletableFuture<ReservationResult> reserveAt(
      ReserveCall template,
      Iterator<MemberInfo> targets,
      int left,
      long deadline,
      Optional<ReservationResult> refusal) {
    if (!targets.hasNext()) {
      return confirmRefusal(template, refusal.orElseThrow());
    }
    MemberInfo target = targets.next();
    long remaining = Math.max(0, deadline - scheduler.nowMillis());
    ReserveCall call = withNewId(template);
    return attempt(call, target, remaining / left)
        .thenCompose(
            result -> {
              boolean isRefusal =
                  result instanceof ReservationResult.Unavailable
                      || result instanceof ReservationResult.Exhausted;
              if (!isRefusal) {
                return CompletableFuture.completedFuture(accept(result));
              }
              // A confirmation by the platform outweighs a holder that did not respond.
              boolean keep = refusal.isPresent() && result instanceof ReservationResult.Unavailable;
              return reserveAt(
                  template, targets, left - 1, deadline, keep ? refusal : Optional.of(result));
            });
  }

  private ReserveCall withNewId(ReserveCall c) {
    String id = self() + ".r" + ++reservations;
    return new ReserveCall(c.budget(), c.account(), c.requestId(), id, c.tokens(), c.server());
  }

  private CompletableFuture<ReservationResult> attempt(
      ReserveCall call, MemberInfo target, long waitMillis) {
    if (target.incarnation().equals(self())) {
      return holder.reserve(call, waitMillis);
    }
    ReserveRequest request = PeerMessages.toRequest(call, waitMillis, events.stamp());
    return peers
        .reserve(target.peerAddress(), request, waitMillis + RESPONSE_SLACK_MILLIS)
        .thenApply(response -> received(call, target, response));
  }

  private ReservationResult received(
      ReserveCall call, MemberInfo target, Optional<ReserveResponse> response) {
    if (response.isEmpty()) {
      String holderId = target.incarnation();
      settle(new Reservation(call.reservationId(), call.budget(), holderId, 0), 0, true);
      return new ReservationResult.Unavailable("the holder did not respond");
    }
    events.observe(response.get().getStamp());
    String holderId = response.get().getHolder();
    if (!holderId.isEmpty() && !holderId.equals(target.incarnation())) {
      outbox.noteSuccessor(holderId, target.peerAddress());
    }
    return PeerMessages.toResult(call, response.get());
  }

  /** Registers a granted reservation unless its holder was acknowledged as dead meanwhile. */
  private ReservationResult accept(ReservationResult result) {
    if (result instanceof ReservationResult.Granted granted) {
      Reservation r = granted.reservation();
      if (deadHolders.contains(r.holder())) {
        settle(r, 0, true);
        return new ReservationResult.Unavailable("the holder of the reservation is dead");
      }
      openHere.put(r.id(), r);
    }
    return result;
  }

  /** Distinguishes a request that is above the whole budget, which holders elsewhere can't tell. */
  private CompletableFuture<ReservationResult> confirmRefusal(
      ReserveCall call, ReservationResult refusal) {
    if (!(refusal instanceof ReservationResult.Exhausted)) {
      return CompletableFuture.completedFuture(refusal);
    }
    return table
        .read(List.of(TableKeys.budget(call.budget())))
        .thenApply(
            result -> {
              if (!(result instanceof ReadResult.Rows rows) || rows.rows().isEmpty()) {
                return refusal;
              }
              BudgetRow row = Json.read(rows.rows().get(0).value(), BudgetRow.class);
              return call.tokens() > row.granted()
                  ? new ReservationResult.AboveBudget(row.granted())
                  : refusal;
            });
  }

  @Override
  public void trim(Reservation reservation, long tokens) {
    settle(reservation, tokens, false);
  }

  @Override
  public void close(Reservation reservation, long tokens) {
    openHere.remove(reservation.id());
    settle(reservation, tokens, true);
  }

  private void settle(Reservation reservation, long tokens, boolean isFinal) {
    var entry = PeerMessages.toSettle(reservation, tokens, isFinal);
    if (holder.canSettle(reservation.holder()) && !isHandedOver) {
      holder.settle(entry);
    } else {
      outbox.add(entry);
    }
  }

  /**
   * Handles a reservation that another daemon asks for.
   *
   * @param request the message
   * @return the response
   */
  public CompletableFuture<ReserveResponse> handleReserve(ReserveRequest request) {
    events.observe(request.getStamp());
    if (request.getTokens() <= 0 || !isRegistered) {
      ReservationResult refused = new ReservationResult.Unavailable("nothing can be granted");
      return CompletableFuture.completedFuture(PeerMessages.toResponse(refused, events.stamp()));
    }
    return holder
        .reserve(PeerMessages.toCall(request), request.getWaitMillis())
        .thenApply(result -> PeerMessages.toResponse(result, events.stamp()));
  }

  /**
   * Handles settlements of another daemon.
   *
   * @param request the message
   * @return the response; exceptional if the ledger was handed over, so that the sender repeats the
   *     settlements at the successor
   */
  public CompletableFuture<SettleResponse> handleSettle(SettleRequest request) {
    events.observe(request.getStamp());
    if (isHandedOver) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("the ledger was handed over"));
    }
    request.getEntriesList().forEach(holder::settle);
    return CompletableFuture.completedFuture(
        SettleResponse.newBuilder().setStamp(events.stamp()).build());
  }

  /**
   * Handles a request to return surplus tokens to the platform.
   *
   * @param request the message
   * @return the response
   */
  public CompletableFuture<ReleaseResponse> handleRelease(ReleaseRequest request) {
    events.observe(request.getStamp());
    return holder
        .release(request.getBudget(), request.getTokens())
        .thenApply(
            tokens ->
                ReleaseResponse.newBuilder().setStamp(events.stamp()).setReleased(tokens).build());
  }

  /**
   * Handles the offer of the ledger of a stopping holder.
   *
   * @param request the message
   * @return the response; refused while stopping, before registration and for holders acknowledged
   *     as dead
   */
  public CompletableFuture<HandOverResponse> handleHandOver(HandOverRequest request) {
    events.observe(request.getStamp());
    List<HandOverEntry> entries =
        request.getEntriesList().stream().map(PeerMessages::fromWire).toList();
    boolean accepted =
        isRegistered
            && !deadHolders.contains(request.getHolder())
            && holder.adopt(request.getHolder(), entries);
    return CompletableFuture.completedFuture(
        HandOverResponse.newBuilder().setStamp(events.stamp()).setAccepted(accepted).build());
  }

  /**
   * Notes which incarnations the platform lists as live. Only registered ones grant, so all others
   * have ended or never granted. Settlements for them are given up once all daemons of the domain,
   * one of which may have taken over the ledger, have received them.
   *
   * @param live live incarnations of all failure domains
   */
  public void noteLive(Set<String> live) {
    outbox.noteLive(live);
  }

  /**
   * Acknowledges the death of a holder if no reservation from its allotments is open at this daemon
   * and its ledger is not held here. Afterwards its reservations and its ledger are refused.
   *
   * @param dead incarnation that is proven dead
   * @return true if acknowledged
   */
  public boolean acknowledgeDeath(String dead) {
    boolean isUsed = openHere.values().stream().anyMatch(r -> r.holder().equals(dead));
    if (isUsed || holder.holdsLedgerOf(dead)) {
      return false;
    }
    deadHolders.add(dead);
    return true;
  }

  /**
   * Returns the reservations that this daemon holds for other servers.
   *
   * @return open reservations by the server's incarnation
   */
  public Map<String, List<HeldReservation>> openByServer() {
    Map<String, List<HeldReservation>> open = new HashMap<>();
    for (AllotmentHolder.Open o : holder.openReservations()) {
      open.computeIfAbsent(o.entry().server(), s -> new ArrayList<>())
          .add(new HeldReservation(o.account(), o.budget(), o.entry()));
    }
    open.remove(self());
    return open;
  }

  /**
   * Closes a reservation of a server that has ended.
   *
   * @param reservation the reservation
   * @param tokens tokens that the server billed with it
   */
  public void closeForEndedServer(HeldReservation reservation, long tokens) {
    String id = reservation.entry().id();
    holder.settle(
        PeerMessages.toSettle(
            new Reservation(id, reservation.budget(), self(), reservation.entry().tokens()),
            tokens,
            true));
    events.recordBudget("reservation_recovered", reservation.budget(), "tokens=" + tokens);
  }

  /**
   * Returns the tokens of a budget that can be reserved here without a draw.
   *
   * @param budget identifier of the budget
   * @return tokens, not negative
   */
  public long available(String budget) {
    return holder.available(budget);
  }

  /**
   * Returns the tokens of all budgets that can be reserved here without a draw.
   *
   * @return tokens, not negative
   */
  public long tokensHeld() {
    return holder.available();
  }

  /**
   * Tells whether this incarnation holds no allotment and owes no settlement.
   *
   * @return true if its row may be marked closed
   */
  public boolean isSettled() {
    return !isHandedOver && openHere.isEmpty() && outbox.isEmpty() && holder.isAllClosed();
  }

  /**
   * Stops granting, waits for open reservations, returns the rest and closes the rows. What can't
   * be returned is handed over to one daemon of the failure domain.
   *
   * @return completes when nothing is left or nothing more can be done
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    if (isStopping) {
      stopped.complete(null);
      return stopped;
    }
    isStopping = true;
    maintenance.cancel();
    holder.stopGranting();
    long now = scheduler.nowMillis();
    drain(now + drainTimeoutMillis, now + drainTimeoutMillis + RETURN_TIMEOUT_MILLIS, stopped);
    return stopped;
  }

  private void drain(long drainDeadline, long returnDeadline, CompletableFuture<Void> stopped) {
    long now = scheduler.nowMillis();
    boolean isOpen = holder.hasOpen() && now < drainDeadline;
    if (!isOpen) {
      holder.closeAll();
    }
    boolean isDone = holder.isAllClosed() && outbox.isEmpty();
    if (!isOpen && (isDone || now >= returnDeadline)) {
      finishStop(stopped);
      return;
    }
    long limit = isOpen ? returnDeadline : Math.min(returnDeadline, now + RETURN_TIMEOUT_MILLIS);
    scheduler.schedule(STOP_POLL_MILLIS, () -> drain(drainDeadline, limit, stopped));
  }

  private void finishStop(CompletableFuture<Void> stopped) {
    if (holder.isAllClosed()) {
      stopped.complete(null);
      return;
    }
    isHandedOver = true;
    holder.freeze();
    handOver(scheduler.nowMillis() + WRITE_TIMEOUT_MILLIS, stopped);
  }

  /** Waits for writes in progress first; a return with an open outcome would count as returned. */
  private void handOver(long deadline, CompletableFuture<Void> stopped) {
    if (holder.isWriting() && scheduler.nowMillis() < deadline) {
      scheduler.schedule(STOP_POLL_MILLIS, () -> handOver(deadline, stopped));
    } else {
      FutureCallbacks.onValue(handOvers.offerAll(holder.toHandOver()), stopped::complete);
    }
  }

  private String self() {
    return membership.self().incarnation();
  }
}
