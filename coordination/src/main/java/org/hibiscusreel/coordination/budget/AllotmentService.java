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
 * Reserves tokens at the holders of this failure domain and serves as one of these holders.
 * Requests spend only tokens that were drawn from the platform beforehand.
 */
public final class AllotmentService implements BudgetReservations {

  private static final int MAX_HOLDERS = 3;
  private static final long RESPONSE_MARGIN_MILLIS = 100;
  private static final long MAINTENANCE_INTERVAL_MILLIS = 30_000;
  private static final long STOP_POLL_MILLIS = 50;

  /** Time to return tokens during a stop before the ledger is handed over, in milliseconds. */
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
  private final HandOverSender handOverSender;
  private final Map<String, Reservation> openReservations = new HashMap<>();
  private final Set<String> deadHolders = new HashSet<>();
  private Cancellable maintenance = () -> {};
  private boolean isRegistered;
  private boolean isStopping;
  private boolean isHandedOver;
  private long reservationCount;

  /**
   * Creates the service.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param peers calls to other daemons
   * @param membership the other daemons
   * @param configuration provides the failure domains
   * @param events records the event timeline
   * @param random source of random bits
   * @param drainTimeoutMillis longest time that a stop waits for open reservations, in milliseconds
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
    AllotmentTableClient tableClient =
        new AllotmentTableClient(
            scheduler, table, events, releases, () -> releases.failureDomains().size(), random);
    this.holder = new AllotmentHolder(scheduler, events, tableClient, self());
    this.handOverSender = new HandOverSender(peers, membership, events);
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

  /** Starts the periodic return of surplus tokens. */
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
   * Allows this incarnation to reserve, to grant and to adopt ledgers. An unregistered incarnation
   * must do none of these: its bills could not be recovered after a crash, and the allotment of a
   * dead holder would be reclaimed without waiting for its acknowledgement.
   */
  public void markRegistered() {
    isRegistered = true;
  }

  /**
   * Returns whether this incarnation is registered in the platform.
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
    List<MemberInfo> targets =
        new ArrayList<>(ranked.subList(0, Math.min(MAX_HOLDERS, ranked.size())));
    if (targets.isEmpty()) {
      targets.add(membership.self());
    }
    long deadlineMillis = scheduler.nowMillis() + waitMillis;
    ReserveCall call = new ReserveCall(budget, key.account(), key.requestId(), "", tokens, self());
    return reserveAtNext(
        call, targets.iterator(), targets.size(), deadlineMillis, Optional.empty());
  }

  private CompletableFuture<ReservationResult> reserveAtNext(
      ReserveCall template,
      Iterator<MemberInfo> targets,
      int remainingTargets,
      long deadlineMillis,
      Optional<ReservationResult> refusal) {
    if (!targets.hasNext()) {
      return confirmRefusal(template, refusal.orElseThrow());
    }
    MemberInfo target = targets.next();
    long remaining = Math.max(0, deadlineMillis - scheduler.nowMillis());
    ReserveCall call = withNewId(template);
    return attempt(call, target, remaining / remainingTargets)
        .thenCompose(
            result -> {
              boolean isRefusal =
                  result instanceof ReservationResult.Unavailable
                      || result instanceof ReservationResult.Exhausted;
              if (!isRefusal) {
                return CompletableFuture.completedFuture(accept(result));
              }
              // A refusal confirmed by the platform takes precedence over a holder that did not
              // respond.
              boolean keepsRefusal =
                  refusal.isPresent() && result instanceof ReservationResult.Unavailable;
              return reserveAtNext(
                  template,
                  targets,
                  remainingTargets - 1,
                  deadlineMillis,
                  keepsRefusal ? refusal : Optional.of(result));
            });
  }

  private ReserveCall withNewId(ReserveCall template) {
    String id = self() + ".r" + ++reservationCount;
    return new ReserveCall(
        template.budget(),
        template.account(),
        template.requestId(),
        id,
        template.tokens(),
        template.server());
  }

  private CompletableFuture<ReservationResult> attempt(
      ReserveCall call, MemberInfo target, long waitMillis) {
    if (target.incarnation().equals(self())) {
      return holder.reserve(call, waitMillis);
    }
    ReserveRequest request = PeerMessages.toRequest(call, waitMillis, events.stamp());
    return peers
        .reserve(target.peerAddress(), request, waitMillis + RESPONSE_MARGIN_MILLIS)
        .thenApply(response -> handleResponse(call, target, response));
  }

  private ReservationResult handleResponse(
      ReserveCall call, MemberInfo target, Optional<ReserveResponse> response) {
    if (response.isEmpty()) {
      String holderId = target.incarnation();
      settle(new Reservation(call.reservationId(), call.budget(), holderId, 0), 0, true);
      return new ReservationResult.Unavailable("the holder did not respond");
    }
    events.observe(response.get().getStamp());
    String holderId = response.get().getHolder();
    if (!holderId.isEmpty() && !holderId.equals(target.incarnation())) {
      outbox.setSuccessorAddress(holderId, target.peerAddress());
    }
    return PeerMessages.toResult(call, response.get());
  }

  /**
   * Records a granted reservation unless its holder has been acknowledged as dead in the meantime.
   */
  private ReservationResult accept(ReservationResult result) {
    if (result instanceof ReservationResult.Granted granted) {
      Reservation r = granted.reservation();
      if (deadHolders.contains(r.holder())) {
        settle(r, 0, true);
        return new ReservationResult.Unavailable("the holder of the reservation is dead");
      }
      openReservations.put(r.id(), r);
    }
    return result;
  }

  /**
   * Distinguishes a request that exceeds the whole budget, which the response of a remote holder
   * does not show.
   */
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
    openReservations.remove(reservation.id());
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
   * Handles a reservation request from another daemon.
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
   * Handles settlements from another daemon.
   *
   * @param request the message
   * @return the response; exceptional if the ledger was handed over, so that the sender resends the
   *     settlements to the successor
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
   * Handles a ledger offered by a stopping holder.
   *
   * @param request the message
   * @return the response; the ledger is refused while this daemon stops, before its registration,
   *     and if the holder is acknowledged as dead
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
   * Updates the set of incarnations that the platform lists as live. Only registered incarnations
   * grant, so all others have ended or never granted. Settlements for those are discarded once all
   * daemons of the domain, one of which may have adopted the ledger, have received them.
   *
   * @param live live incarnations of all failure domains
   */
  public void updateLiveIncarnations(Set<String> live) {
    outbox.updateLive(live);
  }

  /**
   * Acknowledges the death of a holder if this daemon has no open reservation from its allotments
   * and does not hold its ledger. Afterwards reservations and the ledger of this holder are
   * refused.
   *
   * @param dead incarnation that is proven dead
   * @return true if acknowledged
   */
  public boolean acknowledgeDeath(String dead) {
    boolean isUsed = openReservations.values().stream().anyMatch(r -> r.holder().equals(dead));
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
    for (AllotmentHolder.HolderReservation o : holder.openReservations()) {
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
  public void closeOrphaned(HeldReservation reservation, long tokens) {
    String id = reservation.entry().id();
    holder.settle(
        PeerMessages.toSettle(
            new Reservation(id, reservation.budget(), self(), reservation.entry().tokens()),
            tokens,
            true));
    events.recordBudget("reservation_recovered", reservation.budget(), "tokens=" + tokens);
  }

  /**
   * Returns the number of tokens of a budget that can be reserved at this daemon without a draw.
   *
   * @param budget identifier of the budget
   * @return tokens, not negative
   */
  public long available(String budget) {
    return holder.available(budget);
  }

  /**
   * Returns the number of tokens of all budgets that can be reserved from this daemon's own
   * allotments without a draw.
   *
   * @return tokens, not negative
   */
  public long tokensHeld() {
    return holder.available();
  }

  /**
   * Returns whether this incarnation holds no allotment and has no settlement to send.
   *
   * @return true if its row may be marked closed
   */
  public boolean isSettled() {
    return !isHandedOver && openReservations.isEmpty() && outbox.isEmpty() && holder.areAllClosed();
  }

  /**
   * Stops granting, waits for open reservations, returns the remaining tokens and closes the rows.
   * Ledgers that can't be closed are handed over to a daemon of the same failure domain.
   *
   * @return completes when all allotments are closed, or when the hand-over has succeeded or failed
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

  private void drain(
      long drainDeadlineMillis, long returnDeadlineMillis, CompletableFuture<Void> stopped) {
    long now = scheduler.nowMillis();
    boolean isOpen = holder.hasOpenReservations() && now < drainDeadlineMillis;
    if (!isOpen) {
      holder.requestReturnOfAll();
    }
    boolean isDone = holder.areAllClosed() && outbox.isEmpty();
    if (!isOpen && (isDone || now >= returnDeadlineMillis)) {
      finishStop(stopped);
      return;
    }
    long limit =
        isOpen ? returnDeadlineMillis : Math.min(returnDeadlineMillis, now + RETURN_TIMEOUT_MILLIS);
    scheduler.schedule(STOP_POLL_MILLIS, () -> drain(drainDeadlineMillis, limit, stopped));
  }

  private void finishStop(CompletableFuture<Void> stopped) {
    if (holder.areAllClosed()) {
      stopped.complete(null);
      return;
    }
    isHandedOver = true;
    holder.freeze();
    handOver(scheduler.nowMillis() + WRITE_TIMEOUT_MILLIS, stopped);
  }

  /**
   * Waits for writes in progress first, because a return with an unknown outcome would count as
   * returned.
   */
  private void handOver(long deadlineMillis, CompletableFuture<Void> stopped) {
    if (holder.isWriting() && scheduler.nowMillis() < deadlineMillis) {
      scheduler.schedule(STOP_POLL_MILLIS, () -> handOver(deadlineMillis, stopped));
    } else {
      FutureCallbacks.onValue(handOverSender.offerAll(holder.toHandOver()), stopped::complete);
    }
  }

  private String self() {
    return membership.self().incarnation();
  }
}
