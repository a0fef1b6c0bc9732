package org.hibiscusreel.coordination.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.node.NodePorts;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.membership.MemberStatus;
import org.hibiscusreel.core.membership.MemberTable;
import org.hibiscusreel.core.membership.MemberUpdate;
import org.hibiscusreel.core.membership.MembershipLimits;
import org.hibiscusreel.core.membership.Rendezvous;
import org.hibiscusreel.wire.ProbeIndirectRequest;
import org.hibiscusreel.wire.ProbeIndirectResponse;
import org.hibiscusreel.wire.ProbeRequest;
import org.hibiscusreel.wire.ProbeResponse;

/** Keeps track of the other daemons by probes, and spreads which upstreams are leaving. */
public final class MembershipService implements MembershipView {
  /** Interval of probes in the own failure domain. */
  public static final long PROBE_INTERVAL_MILLIS = 1_000;

  /** One probe in this many goes to another failure domain. */
  private static final int REMOTE_PROBE_EVERY = 5;

  /** One tick in this many probes an address where no live member is known. */
  private static final int CONTACT_PROBE_EVERY = 2;

  private static final long PROBE_TIMEOUT_MILLIS = 500;
  private static final long INDIRECT_TIMEOUT_MILLIS = 1_000;
  private static final int INDIRECT_PROBES = 3;

  /** Grows the timeouts while probes of this daemon fail, since it may be the slow one. */
  private static final int MAX_SLOWNESS = 4;

  private static final int PUSH_FAN_OUT = 3;
  private static final int REMOTE_PUSH_FAN_OUT = 1;

  /** The second push reaches members that the first missed by chance. */
  private static final long SECOND_PUSH_MILLIS = 400;

  private static final long MIN_HOST_POLL_MILLIS = 1_000;
  private static final long MAX_HOST_POLL_MILLIS = 10_000;

  /** Keeps the fleet below 40 reads of the host list a second until the longest interval. */
  private static final long HOST_POLL_MILLIS_PER_MEMBER = 25;

  private final MemberInfo self;
  private final Scheduler scheduler;
  private final PeerTransport peers;
  private final HostList hosts;
  private final LongSupplier random;
  private final EventRecorder recorder;
  private final MemberTable table;
  private final Contacts contacts;
  private final LeavingMonitor leaving;
  private final List<PeerVersionListener> versionListeners = new ArrayList<>();
  private final List<String> localOrder = new ArrayList<>();
  private LongSupplier configurationVersion = () -> 0;
  private Cancellable tick = () -> {};
  private Cancellable hostPoll = () -> {};
  private boolean running;
  private boolean left;
  private long ticks;
  private int slowness;
  private boolean pushScheduled;

  /**
   * Creates the service.
   *
   * @param settings settings of the daemon
   * @param ports time, peers, host list and randomness
   * @param recorder records changes of status
   */
  public MembershipService(NodeSettings settings, NodePorts ports, EventRecorder recorder) {
    this.self = settings.self();
    this.scheduler = ports.scheduler();
    this.peers = ports.peers();
    this.hosts = ports.hosts();
    this.random = ports.random();
    this.recorder = Objects.requireNonNull(recorder, "recorder");
    this.contacts = new Contacts(settings.seeds());
    this.leaving = new LeavingMonitor(scheduler, recorder, this::onLeavingChanged);
    this.table =
        new MemberTable(
            Members.toUpdate(self), MembershipLimits.defaults(), random, scheduler.nowMillis());
  }

  /**
   * Sets where the version in probes comes from.
   *
   * @param version returns the version of the configuration in force, 0 if there is none
   */
  public void setConfigurationVersion(LongSupplier version) {
    configurationVersion = Objects.requireNonNull(version, "version");
  }

  /**
   * Adds a listener of the versions that peers hold.
   *
   * @param listener called on the event loop with each probe
   */
  public void addVersionListener(PeerVersionListener listener) {
    versionListeners.add(Objects.requireNonNull(listener, "listener"));
  }

  /** Starts to probe. The first contacts are asked at once. */
  public void start() {
    running = true;
    pollHosts();
    joinThroughContacts();
    long phase = Math.floorMod(random.getAsLong(), PROBE_INTERVAL_MILLIS);
    tick = scheduler.schedule(phase, this::onTick);
  }

  /** Announces that this daemon is leaving, to as many members as an ordinary push reaches. */
  public void leave() {
    if (!left) {
      left = true;
      table.leave();
      recorder.record("member_leaving", self.incarnation());
      push();
      push();
    }
  }

  /** Stops to probe; probes of others are still answered. */
  public void stop() {
    running = false;
    tick.cancel();
    hostPoll.cancel();
  }

  private void onTick() {
    if (!running) {
      return;
    }
    ticks++;
    tick = scheduler.schedule(PROBE_INTERVAL_MILLIS, this::onTick);
    for (MemberUpdate u : table.tick(scheduler.nowMillis())) {
      contacts.add(u.peerAddress());
      recorder.record("member_" + u.status().name().toLowerCase(Locale.ROOT), u.incarnation());
    }
    leaving.expire();
    nextLocal().ifPresent(this::probeMember);
    if (ticks % REMOTE_PROBE_EVERY == 0) {
      table.pick(probed(false), 1).forEach(this::probeMember);
    }
    if (ticks % CONTACT_PROBE_EVERY == 0) {
      contacts.pick(knownAddresses(), 1, random).forEach(this::probeContact);
    }
  }

  private void joinThroughContacts() {
    contacts.pick(knownAddresses(), INDIRECT_PROBES, random).forEach(this::probeContact);
  }

  /** Probes each member of the own domain once in random order before any a second time. */
  private Optional<MemberUpdate> nextLocal() {
    while (true) {
      if (localOrder.isEmpty()) {
        List<MemberUpdate> local = probed(true);
        if (local.isEmpty()) {
          return Optional.empty();
        }
        table.pick(local, local.size()).forEach(u -> localOrder.add(u.incarnation()));
      }
      Optional<MemberUpdate> next =
          table.find(localOrder.remove(localOrder.size() - 1)).filter(MembershipService::isProbed);
      if (next.isPresent()) {
        return next;
      }
    }
  }

  private List<MemberUpdate> probed(boolean local) {
    return table.others().stream()
        .filter(MembershipService::isProbed)
        .filter(u -> u.failureDomain().equals(self.failureDomain()) == local)
        .toList();
  }

  private static boolean isProbed(MemberUpdate u) {
    return u.status() != MemberStatus.DEAD;
  }

  private Set<String> knownAddresses() {
    Set<String> s = new HashSet<>();
    s.add(self.peerAddress());
    for (MemberUpdate u : table.others()) {
      if (isProbed(u)) {
        s.add(u.peerAddress());
      }
    }
    return s;
  }

  private long timeout(long base) {
    return base * (1 + slowness);
  }

  private void probeMember(MemberUpdate target) {
    ProbeRequest request = request(target.incarnation());
    FutureCallbacks.onValue(
        peers.probe(target.peerAddress(), request, timeout(PROBE_TIMEOUT_MILLIS)),
        r -> {
          if (r.isPresent()) {
            slowness = Math.max(0, slowness - 1);
            onResponse(r.get());
          } else if (running) {
            slowness = Math.min(MAX_SLOWNESS, slowness + 1);
            probeIndirectly(target);
          }
        });
  }

  private void probeContact(String address) {
    String incarnation =
        table.others().stream()
            .filter(u -> u.peerAddress().equals(address))
            .map(MemberUpdate::incarnation)
            .findFirst()
            .orElse("");
    FutureCallbacks.onValue(
        peers.probe(address, request(incarnation), timeout(PROBE_TIMEOUT_MILLIS)),
        r -> r.ifPresent(this::onResponse));
  }

  private void probeIndirectly(MemberUpdate target) {
    List<MemberUpdate> helpers = new ArrayList<>();
    for (MemberUpdate u : table.others()) {
      boolean helps = u.status() == MemberStatus.ALIVE;
      if (helps && !u.incarnation().equals(target.incarnation())) {
        helpers.add(u);
      }
    }
    List<CompletableFuture<Optional<ProbeIndirectResponse>>> calls = new ArrayList<>();
    for (MemberUpdate h : table.pick(preferred(helpers, target), INDIRECT_PROBES)) {
      ProbeIndirectRequest r =
          ProbeIndirectRequest.newBuilder()
              .setStamp(recorder.stamp())
              .setTarget(Members.toWire(target))
              .build();
      calls.add(peers.probeIndirect(h.peerAddress(), r, timeout(INDIRECT_TIMEOUT_MILLIS)));
    }
    FutureCallbacks.onValue(
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)),
        done -> onIndirect(target, calls));
  }

  private static List<MemberUpdate> preferred(List<MemberUpdate> helpers, MemberUpdate target) {
    List<MemberUpdate> near =
        helpers.stream().filter(u -> u.failureDomain().equals(target.failureDomain())).toList();
    return near.size() >= INDIRECT_PROBES ? near : helpers;
  }

  private void onIndirect(
      MemberUpdate target, List<CompletableFuture<Optional<ProbeIndirectResponse>>> calls) {
    boolean reachable = false;
    for (var call : calls) {
      Optional<ProbeIndirectResponse> r = call.join();
      r.ifPresent(x -> recorder.observe(x.getStamp()));
      reachable |= r.isPresent() && r.get().getReachable();
    }
    if (!reachable && running) {
      table.probeFailed(target.incarnation(), scheduler.nowMillis());
    }
  }

  private ProbeRequest request(String receiver) {
    ProbeRequest.Builder b =
        ProbeRequest.newBuilder()
            .setStamp(recorder.stamp())
            .setSender(Members.toWire(table.self()))
            .setConfigurationVersion(configurationVersion.getAsLong())
            .addAllLeavingUpstreams(leaving.encode());
    table.gossip(receiver, scheduler.nowMillis()).forEach(u -> b.addUpdates(Members.toWire(u)));
    return b.build();
  }

  private void onResponse(ProbeResponse r) {
    recorder.observe(r.getStamp());
    r.getUpdatesList().forEach(m -> Members.fromWire(m).ifPresent(this::merge));
    Members.fromWire(r.getResponder())
        .ifPresent(u -> onHeard(u, r.getConfigurationVersion(), r.getLeavingUpstreamsList()));
  }

  private void merge(MemberUpdate u) {
    table.merge(u, scheduler.nowMillis());
  }

  private boolean onHeard(MemberUpdate sender, long version, List<String> leavingEntries) {
    boolean isNew = table.heardFrom(sender, scheduler.nowMillis());
    leaving.merge(leavingEntries);
    MemberInfo peer = Members.toInfo(sender);
    versionListeners.forEach(l -> l.onPeerVersion(peer, version));
    return isNew;
  }

  /**
   * Answers a probe of another daemon.
   *
   * @param request the probe
   * @return the response
   */
  public CompletableFuture<ProbeResponse> probe(ProbeRequest request) {
    recorder.observe(request.getStamp());
    request.getUpdatesList().forEach(m -> Members.fromWire(m).ifPresent(this::merge));
    Optional<MemberUpdate> sender = Members.fromWire(request.getSender());
    boolean joins =
        sender
            .map(
                u ->
                    onHeard(
                        u, request.getConfigurationVersion(), request.getLeavingUpstreamsList()))
            .orElse(false);
    ProbeResponse.Builder b =
        ProbeResponse.newBuilder()
            .setResponder(Members.toWire(table.self()))
            .setConfigurationVersion(configurationVersion.getAsLong())
            .addAllLeavingUpstreams(leaving.encode());
    List<MemberUpdate> updates =
        joins
            ? table.snapshot()
            : table.gossip(request.getSender().getIncarnation(), scheduler.nowMillis());
    updates.forEach(u -> b.addUpdates(Members.toWire(u)));
    return CompletableFuture.completedFuture(b.setStamp(recorder.stamp()).build());
  }

  /**
   * Probes a member on behalf of another daemon.
   *
   * @param request the member
   * @return whether it responded
   */
  public CompletableFuture<ProbeIndirectResponse> probeIndirect(ProbeIndirectRequest request) {
    recorder.observe(request.getStamp());
    String target = request.getTarget().getIncarnation();
    return peers
        .probe(request.getTarget().getPeerAddress(), request(target), PROBE_TIMEOUT_MILLIS)
        .thenApply(
            r -> {
              r.ifPresent(this::onResponse);
              boolean same =
                  r.isPresent() && r.get().getResponder().getIncarnation().equals(target);
              return ProbeIndirectResponse.newBuilder()
                  .setStamp(recorder.stamp())
                  .setReachable(same)
                  .build();
            });
  }

  private void pollHosts() {
    long members = table.others().size() + 1L;
    long interval =
        Math.min(
            MAX_HOST_POLL_MILLIS,
            Math.max(MIN_HOST_POLL_MILLIS, members * HOST_POLL_MILLIS_PER_MEMBER));
    hostPoll = scheduler.schedule(interval, this::pollHosts);
    FutureCallbacks.onValue(hosts.fetch(), l -> l.ifPresent(this::onListing));
  }

  private void onListing(HostList.Listing listing) {
    boolean alone = table.others().isEmpty();
    for (HostList.Host h : listing.hosts()) {
      if (h.state() == HostList.State.TERMINATED) {
        contacts.remove(h.peerAddress());
      } else {
        contacts.add(h.peerAddress());
      }
    }
    leaving.onListing(listing);
    if (alone && running) {
      joinThroughContacts();
    }
  }

  /**
   * Takes the upstreams that the configuration drains.
   *
   * @param configuration the configuration in force
   */
  public void onConfiguration(Configuration configuration) {
    leaving.onConfiguration(configuration);
  }

  /**
   * Takes the statement of a load report. A report that does not say leaving ends an earlier
   * statement only if it is clearly newer, since reports lag.
   *
   * @param upstream name of the upstream
   * @param isLeaving whether the report says that it is leaving
   * @param reportedAtMillis wall-clock time of the report in milliseconds since the epoch
   */
  public void onLoadReport(String upstream, boolean isLeaving, long reportedAtMillis) {
    leaving.onLoadReport(upstream, isLeaving, reportedAtMillis);
  }

  private void onLeavingChanged() {
    if (running && !pushScheduled) {
      pushScheduled = true;
      push();
      scheduler.schedule(
          SECOND_PUSH_MILLIS,
          () -> {
            pushScheduled = false;
            push();
          });
    }
  }

  private void push() {
    table.pick(probed(true), PUSH_FAN_OUT).forEach(this::probeMember);
    table.pick(probed(false), REMOTE_PUSH_FAN_OUT).forEach(this::probeMember);
  }

  @Override
  public MemberInfo self() {
    return self;
  }

  @Override
  public List<MemberInfo> alive() {
    List<MemberInfo> all = new ArrayList<>();
    if (!left) {
      all.add(self);
    }
    for (MemberUpdate u : table.others()) {
      if (isUsable(u)) {
        all.add(Members.toInfo(u));
      }
    }
    return all;
  }

  /** A suspect stays in use until it is declared dead: most suspicions are refuted. */
  private static boolean isUsable(MemberUpdate u) {
    return u.status() == MemberStatus.ALIVE || u.status() == MemberStatus.SUSPECT;
  }

  /**
   * Returns the number of members with a status, without this daemon.
   *
   * @param status the status
   * @return 0 or more
   */
  public int count(MemberStatus status) {
    return (int) table.others().stream().filter(u -> u.status() == status).count();
  }

  /** {@inheritDoc} Suspects follow after the others, so that a dead home costs no timeout. */
  @Override
  public List<MemberInfo> rank(String failureDomain, String key) {
    List<MemberInfo> alive = new ArrayList<>();
    List<MemberInfo> suspect = new ArrayList<>();
    if (!left && self.failureDomain().equals(failureDomain)) {
      alive.add(self);
    }
    for (MemberUpdate u : table.others()) {
      if (!u.failureDomain().equals(failureDomain) || !isUsable(u)) {
        continue;
      }
      (u.status() == MemberStatus.ALIVE ? alive : suspect).add(Members.toInfo(u));
    }
    List<MemberInfo> ranked = new ArrayList<>(Rendezvous.rank(alive, MemberInfo::host, key));
    ranked.addAll(Rendezvous.rank(suspect, MemberInfo::host, key));
    return ranked;
  }

  @Override
  public Set<String> leavingUpstreams() {
    return leaving.names();
  }

  @Override
  public void markUpstreamLeaving(String upstream) {
    leaving.mark(upstream);
  }

  @Override
  public void markUpstreamReturned(String upstream) {
    leaving.markReturned(upstream);
  }
}
