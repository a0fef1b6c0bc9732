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
import org.hibiscusreel.coordination.node.NodeDependencies;
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
import org.hibiscusreel.core.membership.RendezvousHash;
import org.hibiscusreel.wire.ProbeIndirectRequest;
import org.hibiscusreel.wire.ProbeIndirectResponse;
import org.hibiscusreel.wire.ProbeRequest;
import org.hibiscusreel.wire.ProbeResponse;

/** Tracks the other daemons with probes and disseminates the set of leaving upstreams. */
public final class MembershipService implements MembershipView {
  /** Interval of probes within the own failure domain, in milliseconds. */
  public static final long PROBE_INTERVAL_MILLIS = 1_000;

  /** Number of ticks between probes of a member in another failure domain. */
  private static final int REMOTE_PROBE_INTERVAL_TICKS = 5;

  /** Number of ticks between probes of a contact point at which no live member is known. */
  private static final int CONTACT_PROBE_INTERVAL_TICKS = 2;

  private static final long PROBE_TIMEOUT_MILLIS = 500;
  private static final long INDIRECT_TIMEOUT_MILLIS = 1_000;
  private static final int INDIRECT_PROBES = 3;

  /**
   * Upper bound of the local health score, which grows while probes sent by this daemon fail.
   * Timeouts are multiplied by the score plus 1, since this daemon may be the slow one.
   */
  private static final int MAX_LOCAL_HEALTH_SCORE = 4;

  private static final int PUSH_FAN_OUT = 3;
  private static final int REMOTE_PUSH_FAN_OUT = 1;

  /**
   * Delay of a second push, which reaches members that the random selection of the first one
   * missed.
   */
  private static final long SECOND_PUSH_MILLIS = 400;

  private static final long MIN_HOST_POLL_MILLIS = 1_000;
  private static final long MAX_HOST_POLL_MILLIS = 10_000;

  /**
   * Poll interval per member. Limits all daemons together to 40 reads of the host list a second
   * until the interval reaches its maximum.
   */
  private static final long HOST_POLL_MILLIS_PER_MEMBER = 25;

  private final MemberInfo self;
  private final Scheduler scheduler;
  private final PeerTransport peers;
  private final HostList hosts;
  private final LongSupplier random;
  private final EventRecorder recorder;
  private final MemberTable table;
  private final ContactPoints contacts;
  private final LeavingUpstreamTracker leaving;
  private final List<PeerVersionListener> versionListeners = new ArrayList<>();
  private final List<String> localProbeOrder = new ArrayList<>();
  private LongSupplier configurationVersion = () -> 0;
  private Cancellable probeTimer = () -> {};
  private Cancellable hostPollTimer = () -> {};
  private boolean running;
  private boolean hasLeft;
  private long ticks;
  private int localHealthScore;
  private boolean isPushScheduled;

  /**
   * Creates the service.
   *
   * @param settings settings of the daemon
   * @param ports scheduler, peers, host list and source of random bits
   * @param recorder records changes of status
   */
  public MembershipService(NodeSettings settings, NodeDependencies ports, EventRecorder recorder) {
    this.self = settings.self();
    this.scheduler = ports.scheduler();
    this.peers = ports.peers();
    this.hosts = ports.hosts();
    this.random = ports.random();
    this.recorder = Objects.requireNonNull(recorder, "recorder");
    this.contacts = new ContactPoints(settings.seeds());
    this.leaving = new LeavingUpstreamTracker(scheduler, recorder, this::onLeavingChanged);
    this.table =
        new MemberTable(
            MemberConverter.toUpdate(self),
            MembershipLimits.defaults(),
            random,
            scheduler.nowMillis());
  }

  /**
   * Sets the source of the configuration version that probes carry.
   *
   * @param version returns the version of the configuration in force, 0 if there is none
   */
  public void setConfigurationVersion(LongSupplier version) {
    configurationVersion = Objects.requireNonNull(version, "version");
  }

  /**
   * Adds a listener for the configuration versions of peers.
   *
   * @param listener called on the event loop with each probe
   */
  public void addVersionListener(PeerVersionListener listener) {
    versionListeners.add(Objects.requireNonNull(listener, "listener"));
  }

  /** Starts probing. Contact points are probed immediately. */
  public void start() {
    running = true;
    pollHosts();
    joinThroughContacts();
    long initialDelayMillis = Math.floorMod(random.getAsLong(), PROBE_INTERVAL_MILLIS);
    probeTimer = scheduler.schedule(initialDelayMillis, this::onTick);
  }

  /**
   * Announces that this daemon is leaving with two pushes, the number that disseminates any other
   * change.
   */
  public void leave() {
    if (!hasLeft) {
      hasLeft = true;
      table.leave();
      recorder.record("member_leaving", self.incarnation());
      pushUpdates();
      pushUpdates();
    }
  }

  /** Stops probing; probes of other daemons still receive a response. */
  public void stop() {
    running = false;
    probeTimer.cancel();
    hostPollTimer.cancel();
  }

  private void onTick() {
    if (!running) {
      return;
    }
    ticks++;
    probeTimer = scheduler.schedule(PROBE_INTERVAL_MILLIS, this::onTick);
    for (MemberUpdate u : table.tick(scheduler.nowMillis())) {
      contacts.add(u.peerAddress());
      recorder.record("member_" + u.status().name().toLowerCase(Locale.ROOT), u.incarnation());
    }
    leaving.expire();
    nextLocal().ifPresent(this::probeMember);
    if (ticks % REMOTE_PROBE_INTERVAL_TICKS == 0) {
      table.pick(probeTargets(false), 1).forEach(this::probeMember);
    }
    if (ticks % CONTACT_PROBE_INTERVAL_TICKS == 0) {
      contacts.pick(knownAddresses(), 1, random).forEach(this::probeContact);
    }
  }

  private void joinThroughContacts() {
    contacts.pick(knownAddresses(), INDIRECT_PROBES, random).forEach(this::probeContact);
  }

  /**
   * Returns the next member of the own domain to probe. Each member is probed once, in random
   * order, before any is probed a second time.
   */
  private Optional<MemberUpdate> nextLocal() {
    while (true) {
      if (localProbeOrder.isEmpty()) {
        List<MemberUpdate> local = probeTargets(true);
        if (local.isEmpty()) {
          return Optional.empty();
        }
        table.pick(local, local.size()).forEach(u -> localProbeOrder.add(u.incarnation()));
      }
      Optional<MemberUpdate> next =
          table
              .find(localProbeOrder.remove(localProbeOrder.size() - 1))
              .filter(MembershipService::isProbed);
      if (next.isPresent()) {
        return next;
      }
    }
  }

  private List<MemberUpdate> probeTargets(boolean local) {
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

  private long scaledTimeout(long base) {
    return base * (1 + localHealthScore);
  }

  private void probeMember(MemberUpdate target) {
    ProbeRequest request = request(target.incarnation());
    FutureCallbacks.onValue(
        peers.probe(target.peerAddress(), request, scaledTimeout(PROBE_TIMEOUT_MILLIS)),
        r -> {
          if (r.isPresent()) {
            localHealthScore = Math.max(0, localHealthScore - 1);
            onResponse(r.get());
          } else if (running) {
            localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
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
        peers.probe(address, request(incarnation), scaledTimeout(PROBE_TIMEOUT_MILLIS)),
        r -> r.ifPresent(this::onResponse));
  }

  private void probeIndirectly(MemberUpdate target) {
    List<MemberUpdate> helpers = new ArrayList<>();
    for (MemberUpdate u : table.others()) {
      boolean isAlive = u.status() == MemberStatus.ALIVE;
      if (isAlive && !u.incarnation().equals(target.incarnation())) {
        helpers.add(u);
      }
    }
    List<CompletableFuture<Optional<ProbeIndirectResponse>>> calls = new ArrayList<>();
    for (MemberUpdate h : table.pick(preferSameDomain(helpers, target), INDIRECT_PROBES)) {
      ProbeIndirectRequest r =
          ProbeIndirectRequest.newBuilder()
              .setStamp(recorder.stamp())
              .setTarget(MemberConverter.toWire(target))
              .build();
      calls.add(peers.probeIndirect(h.peerAddress(), r, scaledTimeout(INDIRECT_TIMEOUT_MILLIS)));
    }
    FutureCallbacks.onValue(
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)),
        done -> handleIndirectResponses(target, calls));
  }

  private static List<MemberUpdate> preferSameDomain(
      List<MemberUpdate> helpers, MemberUpdate target) {
    List<MemberUpdate> near =
        helpers.stream().filter(u -> u.failureDomain().equals(target.failureDomain())).toList();
    return near.size() >= INDIRECT_PROBES ? near : helpers;
  }

  private void handleIndirectResponses(
      MemberUpdate target, List<CompletableFuture<Optional<ProbeIndirectResponse>>> calls) {
    boolean reachable = false;
    for (var call : calls) {
      Optional<ProbeIndirectResponse> r = call.join();
      r.ifPresent(x -> recorder.observe(x.getStamp()));
      reachable |= r.isPresent() && r.get().getReachable();
    }
    if (!reachable && running) {
      table.onProbeFailed(target.incarnation(), scheduler.nowMillis());
    }
  }

  private ProbeRequest request(String receiver) {
    ProbeRequest.Builder b =
        ProbeRequest.newBuilder()
            .setStamp(recorder.stamp())
            .setSender(MemberConverter.toWire(table.self()))
            .setConfigurationVersion(configurationVersion.getAsLong())
            .addAllLeavingUpstreams(leaving.encode());
    table
        .gossip(receiver, scheduler.nowMillis())
        .forEach(u -> b.addUpdates(MemberConverter.toWire(u)));
    return b.build();
  }

  private void onResponse(ProbeResponse r) {
    recorder.observe(r.getStamp());
    r.getUpdatesList().forEach(m -> MemberConverter.fromWire(m).ifPresent(this::merge));
    MemberConverter.fromWire(r.getResponder())
        .ifPresent(u -> handleSender(u, r.getConfigurationVersion(), r.getLeavingUpstreamsList()));
  }

  private void merge(MemberUpdate u) {
    table.merge(u, scheduler.nowMillis());
  }

  private boolean handleSender(MemberUpdate sender, long version, List<String> leavingEntries) {
    boolean isNew = table.onMessage(sender, scheduler.nowMillis());
    leaving.merge(leavingEntries);
    MemberInfo peer = MemberConverter.toInfo(sender);
    versionListeners.forEach(l -> l.onPeerVersion(peer, version));
    return isNew;
  }

  /**
   * Responds to a probe from another daemon.
   *
   * @param request the probe
   * @return the response
   */
  public CompletableFuture<ProbeResponse> probe(ProbeRequest request) {
    recorder.observe(request.getStamp());
    request.getUpdatesList().forEach(m -> MemberConverter.fromWire(m).ifPresent(this::merge));
    Optional<MemberUpdate> sender = MemberConverter.fromWire(request.getSender());
    boolean isJoining =
        sender
            .map(
                u ->
                    handleSender(
                        u, request.getConfigurationVersion(), request.getLeavingUpstreamsList()))
            .orElse(false);
    ProbeResponse.Builder b =
        ProbeResponse.newBuilder()
            .setResponder(MemberConverter.toWire(table.self()))
            .setConfigurationVersion(configurationVersion.getAsLong())
            .addAllLeavingUpstreams(leaving.encode());
    List<MemberUpdate> updates =
        isJoining
            ? table.snapshot()
            : table.gossip(request.getSender().getIncarnation(), scheduler.nowMillis());
    updates.forEach(u -> b.addUpdates(MemberConverter.toWire(u)));
    return CompletableFuture.completedFuture(b.setStamp(recorder.stamp()).build());
  }

  /**
   * Probes a member on behalf of another daemon.
   *
   * @param request the member
   * @return the response, which states whether the member responded
   */
  public CompletableFuture<ProbeIndirectResponse> probeIndirect(ProbeIndirectRequest request) {
    recorder.observe(request.getStamp());
    String target = request.getTarget().getIncarnation();
    return peers
        .probe(request.getTarget().getPeerAddress(), request(target), PROBE_TIMEOUT_MILLIS)
        .thenApply(
            r -> {
              r.ifPresent(this::onResponse);
              boolean isSameIncarnation =
                  r.isPresent() && r.get().getResponder().getIncarnation().equals(target);
              return ProbeIndirectResponse.newBuilder()
                  .setStamp(recorder.stamp())
                  .setReachable(isSameIncarnation)
                  .build();
            });
  }

  private void pollHosts() {
    long members = table.others().size() + 1L;
    long intervalMillis =
        Math.min(
            MAX_HOST_POLL_MILLIS,
            Math.max(MIN_HOST_POLL_MILLIS, members * HOST_POLL_MILLIS_PER_MEMBER));
    hostPollTimer = scheduler.schedule(intervalMillis, this::pollHosts);
    FutureCallbacks.onValue(hosts.fetch(), l -> l.ifPresent(this::onListing));
  }

  private void onListing(HostList.Listing listing) {
    boolean wasAlone = table.others().isEmpty();
    for (HostList.Host h : listing.hosts()) {
      if (h.state() == HostList.State.TERMINATED) {
        contacts.remove(h.peerAddress());
      } else {
        contacts.add(h.peerAddress());
      }
    }
    leaving.onListing(listing);
    if (wasAlone && running) {
      joinThroughContacts();
    }
  }

  /**
   * Updates the set of upstreams that the configuration marks as leaving.
   *
   * @param configuration the configuration in force
   */
  public void onConfiguration(Configuration configuration) {
    leaving.onConfiguration(configuration);
  }

  /**
   * Applies the leaving state of a load report. A report without the leaving state revokes an
   * earlier one only if it is newer by a margin, since reports lag.
   *
   * @param upstream name of the upstream
   * @param isLeaving whether the report states that the upstream is leaving
   * @param reportedAtMillis wall-clock time of the report in milliseconds since the epoch
   */
  public void onLoadReport(String upstream, boolean isLeaving, long reportedAtMillis) {
    leaving.onLoadReport(upstream, isLeaving, reportedAtMillis);
  }

  private void onLeavingChanged() {
    if (running && !isPushScheduled) {
      isPushScheduled = true;
      pushUpdates();
      scheduler.schedule(
          SECOND_PUSH_MILLIS,
          () -> {
            isPushScheduled = false;
            pushUpdates();
          });
    }
  }

  private void pushUpdates() {
    table.pick(probeTargets(true), PUSH_FAN_OUT).forEach(this::probeMember);
    table.pick(probeTargets(false), REMOTE_PUSH_FAN_OUT).forEach(this::probeMember);
  }

  @Override
  public MemberInfo self() {
    return self;
  }

  @Override
  public List<MemberInfo> alive() {
    List<MemberInfo> all = new ArrayList<>();
    if (!hasLeft) {
      all.add(self);
    }
    for (MemberUpdate u : table.others()) {
      if (isUsable(u)) {
        all.add(MemberConverter.toInfo(u));
      }
    }
    return all;
  }

  /**
   * Returns whether requests may be sent to a member. A suspect stays usable until it is declared
   * dead, since most suspicions are refuted.
   */
  private static boolean isUsable(MemberUpdate u) {
    return u.status() == MemberStatus.ALIVE || u.status() == MemberStatus.SUSPECT;
  }

  /**
   * Returns the number of members with a status, excluding this daemon.
   *
   * @param status the status
   * @return 0 or more
   */
  public int count(MemberStatus status) {
    return (int) table.others().stream().filter(u -> u.status() == status).count();
  }

  /**
   * {@inheritDoc} Suspects are ranked after all other members, so that a dead member ranked first
   * does not cost a timeout.
   */
  @Override
  public List<MemberInfo> rank(String failureDomain, String key) {
    List<MemberInfo> alive = new ArrayList<>();
    List<MemberInfo> suspect = new ArrayList<>();
    if (!hasLeft && self.failureDomain().equals(failureDomain)) {
      alive.add(self);
    }
    for (MemberUpdate u : table.others()) {
      if (!u.failureDomain().equals(failureDomain) || !isUsable(u)) {
        continue;
      }
      (u.status() == MemberStatus.ALIVE ? alive : suspect).add(MemberConverter.toInfo(u));
    }
    List<MemberInfo> ranked = new ArrayList<>(RendezvousHash.rank(alive, MemberInfo::host, key));
    ranked.addAll(RendezvousHash.rank(suspect, MemberInfo::host, key));
    return ranked;
  }

  @Override
  public Set<String> leavingUpstreams() {
    return leaving.leavingNames();
  }

  @Override
  public void markUpstreamLeaving(String upstream) {
    leaving.markLeaving(upstream);
  }

  @Override
  public void markUpstreamReturned(String upstream) {
    leaving.markReturned(upstream);
  }
}
