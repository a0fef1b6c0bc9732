package org.hibiscusreel.coordination.config;

import com.google.protobuf.ByteString;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.wire.FetchConfigurationRequest;
import org.hibiscusreel.wire.FetchConfigurationResponse;

/**
 * Maintains the newest published configuration of a site. Two daemons per failure domain, the
 * pollers, poll the platform; the others learn versions from probes and fetch bodies from peers.
 */
public final class ConfigurationFollower implements ConfigurationView {

  /** Interval of the polls of the two pollers, in milliseconds. */
  public static final long POLL_INTERVAL_MILLIS = 1_000;

  /** Time without a version from a poller after which other daemons poll, in milliseconds. */
  public static final long POLLER_TIMEOUT_MILLIS = 3_000;

  /**
   * Longest time between two polls of any daemon, in milliseconds. Probes don't show whether the
   * pollers can reach the platform, so only polls by each daemon itself limit the delay of a
   * change, which must take effect within 8 s.
   */
  public static final long MAX_POLL_INTERVAL_MILLIS = 6_000;

  private static final long JITTER_MILLIS = 1_000;
  private static final long FETCH_TIMEOUT_MILLIS = 1_000;
  private static final int POLLERS_PER_DOMAIN = 2;
  private static final String RANK_KEY = "config";

  private final Scheduler scheduler;
  private final TableService table;
  private final ObjectStore objects;
  private final PeerTransport peers;
  private final MembershipView membership;
  private final EventRecorder recorder;
  private final String site;
  private final List<String> seeds;
  private final LongSupplier random;
  private final List<Consumer<Configuration>> listeners = new ArrayList<>();

  private Configuration configuration;
  private byte[] body = new byte[0];
  private String digest = "";
  private ConfigurationHead knownHead = new ConfigurationHead(0, "");
  private String lastRefusal = "";
  private long lastUpdateMillis;
  private long lastPollMillis;
  private long pollerTimeoutMillis;
  private boolean polling;
  private boolean fetching;
  private boolean running;
  private Cancellable timer = () -> {};

  /**
   * Creates a follower.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param objects the platform's object store
   * @param peers calls to other daemons
   * @param membership the known members
   * @param recorder records events
   * @param site site whose overlay applies
   * @param seeds peer addresses to fetch from at start
   * @param random source of random bits, for jitter
   * @throws NullPointerException if an argument is null
   */
  public ConfigurationFollower(
      Scheduler scheduler,
      TableService table,
      ObjectStore objects,
      PeerTransport peers,
      MembershipView membership,
      EventRecorder recorder,
      String site,
      List<String> seeds,
      LongSupplier random) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.objects = Objects.requireNonNull(objects, "objects");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.membership = Objects.requireNonNull(membership, "membership");
    this.recorder = Objects.requireNonNull(recorder, "recorder");
    this.site = Objects.requireNonNull(site, "site");
    this.seeds = List.copyOf(seeds);
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Starts following: polls immediately and fetches from seeds and members. Has no effect if
   * running.
   */
  public void start() {
    if (running) {
      return;
    }
    running = true;
    pollerTimeoutMillis = nextPollerTimeoutMillis();
    lastUpdateMillis = scheduler.nowMillis();
    poll();
    fetchFromPeers();
    timer = scheduler.schedule(POLL_INTERVAL_MILLIS, this::tick);
  }

  /** Stops following; the current configuration stays readable. Has no effect if not running. */
  public void stop() {
    running = false;
    timer.cancel();
  }

  @Override
  public Optional<Configuration> current() {
    return Optional.ofNullable(configuration);
  }

  @Override
  public void addListener(Consumer<Configuration> listener) {
    listeners.add(Objects.requireNonNull(listener, "listener"));
    if (configuration != null) {
      listener.accept(configuration);
    }
  }

  /**
   * Returns the version in force, for probes.
   *
   * @return the version, 0 if no configuration is in force
   */
  public long version() {
    return configuration == null ? 0 : configuration.version();
  }

  /**
   * Handles the version in force at a peer and fetches it if it is newer.
   *
   * @param version the peer's version, 0 if it has none
   * @param peerAddress IP number and port of the peer service
   */
  public void onPeerVersion(long version, String peerAddress) {
    if (!running) {
      return;
    }
    boolean fromPoller =
        pollers().stream().anyMatch(member -> member.peerAddress().equals(peerAddress));
    if (fromPoller && version >= version()) {
      lastUpdateMillis = scheduler.nowMillis();
    }
    if (version > version() && !fetching) {
      fetchFromPeer(peerAddress);
    }
  }

  /**
   * Responds to a request for the newest configuration from a peer.
   *
   * @param request the request
   * @return the version in force at this daemon, with the body only if it is newer than the
   *     requested one
   */
  public CompletableFuture<FetchConfigurationResponse> fetchConfiguration(
      FetchConfigurationRequest request) {
    recorder.observe(request.getStamp());
    FetchConfigurationResponse.Builder response =
        FetchConfigurationResponse.newBuilder().setStamp(recorder.stamp()).setVersion(version());
    if (version() > request.getNewerThan()) {
      response.setBody(ByteString.copyFrom(body));
    }
    return CompletableFuture.completedFuture(response.build());
  }

  private void tick() {
    if (!running) {
      return;
    }
    timer = scheduler.schedule(POLL_INTERVAL_MILLIS, this::tick);
    long now = scheduler.nowMillis();
    if (isPoller()
        || now - lastUpdateMillis >= pollerTimeoutMillis
        || now - lastPollMillis >= MAX_POLL_INTERVAL_MILLIS - POLL_INTERVAL_MILLIS) {
      poll();
    }
    if (configuration == null) {
      fetchFromPeers();
    }
  }

  private boolean isPoller() {
    String self = membership.self().incarnation();
    return pollers().stream().anyMatch(member -> member.incarnation().equals(self));
  }

  private List<MemberInfo> pollers() {
    List<MemberInfo> ranked = membership.rank(membership.self().failureDomain(), RANK_KEY);
    return ranked.subList(0, Math.min(POLLERS_PER_DOMAIN, ranked.size()));
  }

  private long nextPollerTimeoutMillis() {
    return POLLER_TIMEOUT_MILLIS + Math.floorMod(random.getAsLong(), JITTER_MILLIS);
  }

  private void poll() {
    if (polling) {
      return;
    }
    polling = true;
    lastPollMillis = scheduler.nowMillis();
    pollerTimeoutMillis = nextPollerTimeoutMillis();
    var unused =
        table
            .read(List.of(TableKeys.CONFIG_HEAD))
            .thenAccept(
                result -> {
                  polling = false;
                  if (running && result instanceof ReadResult.Rows rows) {
                    lastUpdateMillis = scheduler.nowMillis();
                    rows.rows().forEach(this::handleHead);
                  }
                });
  }

  private void handleHead(Row row) {
    ConfigurationHead head;
    try {
      head = Json.read(row.value(), ConfigurationHead.class);
    } catch (UncheckedIOException e) {
      recordRefusal(0, "the head row is malformed");
      return;
    }
    if (head.digest() == null || head.version() < knownHead.version()) {
      return;
    }
    knownHead = head;
    boolean corrected = head.version() == version() && !head.digest().equals(digest);
    if (head.version() > version() || corrected) {
      fetchFromStore(head);
    }
  }

  private void fetchFromStore(ConfigurationHead head) {
    var unused =
        objects
            .get(ConfigurationBody.objectKey(head.digest()))
            .thenAccept(
                result -> {
                  if (running && result instanceof ObjectStore.GetResult.Found found) {
                    applyIfNewer(head.version(), found.body(), "object store");
                  }
                });
  }

  private void fetchFromPeers() {
    Set<String> addresses = new LinkedHashSet<>(seeds);
    membership.alive().forEach(member -> addresses.add(member.peerAddress()));
    addresses.remove(membership.self().peerAddress());
    addresses.forEach(this::fetchFromPeer);
  }

  private void fetchFromPeer(String address) {
    fetching = true;
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder()
            .setStamp(recorder.stamp())
            .setNewerThan(version())
            .build();
    var unused =
        peers
            .fetchConfiguration(address, request, FETCH_TIMEOUT_MILLIS)
            .thenAccept(
                response -> {
                  fetching = false;
                  response.ifPresent(r -> handlePeerBody(address, r));
                });
  }

  private void handlePeerBody(String address, FetchConfigurationResponse response) {
    recorder.observe(response.getStamp());
    if (running && !response.getBody().isEmpty()) {
      applyIfNewer(response.getVersion(), response.getBody().toByteArray(), address);
    }
  }

  /**
   * Applies a body if it is valid, newer than the one in force and does not contradict the known
   * digest of its version.
   */
  private void applyIfNewer(long version, byte[] bytes, String source) {
    String found = ConfigurationBody.digest(bytes);
    boolean confirmed = version == knownHead.version() && found.equals(knownHead.digest());
    boolean replaces = version == version() && confirmed && !found.equals(digest);
    if (version <= version() && !replaces) {
      return;
    }
    if (version == knownHead.version() && !confirmed) {
      recordRefusal(version, "the body from " + source + " does not match its digest");
      return;
    }
    Optional<ConfigurationBody> parsed = ConfigurationBody.fromBytes(bytes);
    if (parsed.isEmpty()) {
      recordRefusal(version, "the body from " + source + " is malformed");
      return;
    }
    ConfigurationCompiler.Result result = ConfigurationCompiler.compile(parsed.get(), version);
    if (result instanceof ConfigurationCompiler.Result.Invalid invalid) {
      recordRefusal(
          version, "the body from " + source + " is not valid: " + invalid.errors().get(0));
    } else if (result instanceof ConfigurationCompiler.Result.Compiled compiled) {
      Configuration next = compiled.bySite().get(site);
      if (next == null) {
        recordRefusal(version, "the site " + site + " does not exist");
      } else {
        apply(next, bytes, found);
      }
    }
  }

  private void apply(Configuration next, byte[] bytes, String nextDigest) {
    configuration = next;
    body = bytes.clone();
    digest = nextDigest;
    recorder.record("configuration_applied", "version " + next.version() + " digest " + digest);
    List.copyOf(listeners).forEach(listener -> listener.accept(next));
  }

  /** Records a refusal once, although the poll finds the same body again each second. */
  private void recordRefusal(long version, String reason) {
    String refusal = "version " + version + ": " + reason;
    if (!refusal.equals(lastRefusal)) {
      lastRefusal = refusal;
      recorder.record("configuration_refused", refusal);
    }
  }
}
