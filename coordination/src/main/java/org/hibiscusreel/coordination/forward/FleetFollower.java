package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.ChangeFeed.Change;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.config.SocketAddresses;
import org.hibiscusreel.core.forward.ConfigurationLag;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;

/**
 * Follows the configuration, the upstreams and the other daemons in the platform's store. Used only
 * on the event loop thread.
 */
public final class FleetFollower implements FleetView {

  /**
   * Interval in milliseconds at which the daemons are counted. The count only sets the shares of
   * budgets, which tolerate an outdated value.
   */
  public static final long DAEMON_COUNT_INTERVAL_MILLIS = 5_000;

  /**
   * Number of daemons assumed before the first count. A high value only makes the shares smaller.
   */
  public static final int INITIAL_DAEMON_COUNT = 16;

  private static final long REGISTRATION_RETRY_DELAY_MILLIS = 500;
  private static final int MAX_COUNTED_DAEMONS = 500;
  private static final String HOST_KEY_PREFIX = "hosts//";

  /**
   * Names and formats of the tables that the platform writes.
   *
   * @param configurationTable name of the table with the configuration
   * @param upstreamTable name of the table with the upstreams
   * @param configuration parses a configuration; absent for the other rows of the table
   * @param upstream parses an upstream
   */
  public record RowFormat(
      String configurationTable,
      String upstreamTable,
      Function<Change, RowValue<ForwardingTable>> configuration,
      Function<Change, RowValue<UpstreamEntry>> upstream) {}

  /**
   * Row of one host.
   *
   * @param incarnation incarnation of its daemon
   * @param address IP number and port at which it receives load reports
   */
  public record HostRow(String incarnation, String address) {}

  /** Receives changes. */
  public interface Listener {

    /**
     * Called when a newer configuration takes effect.
     *
     * @param table the configuration
     */
    void onConfiguration(ForwardingTable table);

    /**
     * Called when an upstream was listed or its entry changed, and before it is removed.
     *
     * @param upstream its entry
     */
    default void onUpstreamListed(UpstreamEntry upstream) {}

    /**
     * Called when upstreams were removed.
     *
     * @param ids identifiers of the removed upstreams
     */
    void onUpstreamsRemoved(List<String> ids);

    /**
     * Called when the store was restored from an older copy.
     *
     * @param leaving upstreams that are known to be shutting down, whatever the copy says
     */
    default void onStoreRestored(List<LeavingUpstream> leaving) {}

    /**
     * Called with the other daemons after each count.
     *
     * @param addresses addresses at which they receive load reports
     */
    void onPeers(List<String> addresses);
  }

  private final TableService table;
  private final Scheduler scheduler;
  private final String host;
  private final HostRow self;
  private final RowFormat rows;
  private final DecisionLog log;
  private final Listener listener;
  private final UpstreamCatalog upstreams = new UpstreamCatalog();
  private final ConfigurationLag lag = new ConfigurationLag();
  private final RouteHistory routes = new RouteHistory();
  private final UnusableRows unusableConfigurations;
  private final UnusableRows unusableUpstreams;
  private final UnusableRows unusableHosts;
  private final FeedFollower configurations;
  private final FeedFollower upstreamRows;
  private ForwardingTable current;
  private String configurationKey; // of the row of the current one
  private int daemons = INITIAL_DAEMON_COUNT;
  private boolean upstreamsKnown;
  private boolean stopped;

  /**
   * Creates a follower.
   *
   * @param feed changes of the store's tables
   * @param table the store's tables
   * @param scheduler clock and delayed tasks
   * @param host name of this host
   * @param self row of this daemon
   * @param rows names and formats of the tables that the platform writes
   * @param log receives each change of the known state
   * @param listener receives changes
   * @throws NullPointerException if an argument is null
   */
  public FleetFollower(
      ChangeFeed feed,
      TableService table,
      Scheduler scheduler,
      String host,
      HostRow self,
      RowFormat rows,
      DecisionLog log,
      Listener listener) {
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.host = Objects.requireNonNull(host, "host");
    this.self = Objects.requireNonNull(self, "self");
    this.rows = Objects.requireNonNull(rows, "rows");
    this.log = Objects.requireNonNull(log, "log");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.unusableConfigurations = new UnusableRows(log, "configuration_unusable", "row");
    this.unusableUpstreams = new UnusableRows(log, "upstream_unusable", "upstream");
    this.unusableHosts = new UnusableRows(log, "host_unusable", "row");
    this.configurations =
        new FeedFollower(
            feed, rows.configurationTable(), scheduler, log, new ConfigurationListener());
    this.upstreamRows =
        new FeedFollower(feed, rows.upstreamTable(), scheduler, log, new UpstreamListener());
  }

  /** Starts to follow the tables and registers this daemon. */
  public void start() {
    configurations.start();
    upstreamRows.start();
    registerHost();
    count();
  }

  /** Stops following the tables and removes the registration of this daemon. */
  public void stop() {
    stopped = true;
    configurations.stop();
    upstreamRows.stop();
    var unused =
        table.transact(
            List.of(
                new Mutation(
                    HOST_KEY_PREFIX + host,
                    new Mutation.Expect.Any(),
                    new Mutation.Change.Delete())));
  }

  /**
   * Returns whether requests can be served.
   *
   * @return true once a confirmed configuration and the upstreams are known
   */
  public boolean isReady() {
    return current != null
        && upstreamsKnown
        && configurations.knowledgeAgeMillis() != Long.MAX_VALUE;
  }

  @Override
  public Optional<ForwardingTable> table() {
    return isReady() ? Optional.of(current) : Optional.empty();
  }

  @Override
  public long configurationAgeMillis() {
    return configurations.knowledgeAgeMillis();
  }

  @Override
  public long configurationLagMillis() {
    return lag.lagMillis(scheduler.nowMillis());
  }

  /**
   * Records the version of the configuration that another daemon has confirmed lately.
   *
   * @param version version of the configuration, 0 if none
   */
  public void onPeerVersion(long version) {
    lag.onPeerVersion(version, scheduler.nowMillis());
  }

  @Override
  public RouteHistory routes() {
    return routes;
  }

  @Override
  public long configurationFollowedMillis() {
    return configurations.followedMillis();
  }

  @Override
  public CompletableFuture<Boolean> catchUpWithConfiguration(long timeoutMillis) {
    return configurations.catchUp(timeoutMillis);
  }

  @Override
  public UpstreamCatalog upstreams() {
    return upstreams;
  }

  @Override
  public long upstreamDataAgeMillis() {
    return upstreamRows.ageMillis();
  }

  @Override
  public long upstreamsFollowedMillis() {
    return upstreamRows.followedMillis();
  }

  @Override
  public CompletableFuture<Boolean> catchUpWithUpstreams(long timeoutMillis) {
    return upstreamRows.catchUp(timeoutMillis);
  }

  @Override
  public int daemonCount() {
    return daemons;
  }

  private void registerHost() {
    if (stopped) {
      return;
    }
    var unused =
        table
            .transact(List.of(Mutation.put(HOST_KEY_PREFIX + host, Json.write(self))))
            .thenAccept(
                w -> {
                  if (!(w instanceof WriteResult.Committed)) {
                    scheduler.schedule(REGISTRATION_RETRY_DELAY_MILLIS, this::registerHost);
                  }
                });
  }

  private void count() {
    if (stopped) {
      return;
    }
    var unused =
        table
            .scan(HOST_KEY_PREFIX, "", MAX_COUNTED_DAEMONS)
            .thenAccept(
                r -> {
                  if (r instanceof ReadResult.Rows rowsFound) {
                    daemons = Math.max(1, rowsFound.rows().size());
                    listener.onPeers(otherAddresses(rowsFound.rows()));
                  }
                });
    scheduler.schedule(DAEMON_COUNT_INTERVAL_MILLIS, this::count);
  }

  /** Returns the addresses of the other daemons; a row that can't be used names none. */
  private List<String> otherAddresses(List<Row> hosts) {
    List<String> addresses = new ArrayList<>();
    List<String> keys = hosts.stream().map(Row::key).toList();
    unusableHosts.retain(keys);
    if (!keys.contains(HOST_KEY_PREFIX + host)) {
      // The removal by the run before may take effect seconds late.
      registerHost();
    }
    for (Row r : hosts) {
      Change row = new Change(r.key(), Optional.of(r.value()));
      RowValue<HostRow> value = RowValue.parse(row.value(), FleetFollower::toHostRow);
      boolean isOwn = r.key().equals(HOST_KEY_PREFIX + host);
      if (value instanceof RowValue.Unusable<HostRow> u) {
        unusableHosts.onUnusable(row, u.reason());
        if (isOwn) {
          registerHost();
        }
      } else if (value instanceof RowValue.Present<HostRow> p) {
        unusableHosts.onUsable(r.key());
        if (!isOwn) {
          addresses.add(p.value().address());
        }
      }
    }
    return addresses;
  }

  private static HostRow toHostRow(String text) throws IOException {
    HostRow row = Json.readExact(text, HostRow.class);
    if (!SocketAddresses.isIpAndPort(row.address())) {
      throw new IOException("the address is no IP address with a port");
    }
    return row;
  }

  /**
   * Applies the last valid one of several versions.
   *
   * @return key of its row, or empty if none is valid
   */
  private Optional<String> applyNewest(List<Change> changes) {
    for (int i = changes.size() - 1; i >= 0; i--) {
      RowValue<ForwardingTable> read = rows.configuration().apply(changes.get(i));
      if (read instanceof RowValue.Present<ForwardingTable> p) {
        unusableConfigurations.onUsable(changes.get(i).key());
        configurationKey = changes.get(i).key();
        applyConfiguration(p.value());
        return Optional.of(configurationKey);
      }
      if (read instanceof RowValue.Unusable<ForwardingTable> u) {
        unusableConfigurations.onUnusable(changes.get(i), u.reason());
      }
    }
    return Optional.empty();
  }

  private void applyConfiguration(ForwardingTable t) {
    if (current != null && t.version() <= current.version()) {
      return;
    }
    log.record(
        "configuration",
        Map.of("version", t.version(), "before", current == null ? 0 : current.version()));
    current = t;
    routes.onConfiguration(t, scheduler.nowMillis());
    lag.onOwnVersion(t.version());
    listener.onConfiguration(t);
  }

  private final class ConfigurationListener implements FeedFollower.Listener {

    @Override
    public void onStoreAvailable() {}

    /** A configuration that was confirmed stays in force while the copy has an older one. */
    @Override
    public void onStoreRestored() {
      listener.onStoreRestored(List.of());
    }

    @Override
    public void onFullRead(List<Change> all) {
      applyNewest(all);
    }

    /** Other rows of the table are no configurations. */
    @Override
    public boolean mayMissChanges(List<Change> late) {
      return late.stream().anyMatch(c -> c.key().equals(configurationKey));
    }

    @Override
    public void onChanges(List<Change> changes) {
      applyNewest(changes)
          .filter(key -> changes.stream().filter(c -> c.key().equals(key)).count() > 1)
          // Another daemon may have served by the configurations before the newest one.
          .ifPresent(key -> configurations.onGap());
    }
  }

  private final class UpstreamListener implements FeedFollower.Listener {

    @Override
    public void onStoreAvailable() {
      upstreams.onStoreRegained(scheduler.nowMillis());
    }

    @Override
    public void onStoreRestored() {
      List<LeavingUpstream> leaving = upstreams.onStoreRestored(scheduler.nowMillis());
      registerHost();
      listener.onStoreRestored(leaving);
    }

    @Override
    public void onFullRead(List<Change> all) {
      List<UpstreamEntry> entries = new ArrayList<>();
      List<String> removed = new ArrayList<>();
      unusableUpstreams.retain(all.stream().map(Change::key).toList());
      for (Change c : all) {
        RowValue<UpstreamEntry> value = rows.upstream().apply(c);
        if (value instanceof RowValue.Present<UpstreamEntry> p) {
          unusableUpstreams.onUsable(c.key());
          entries.add(p.value());
        } else if (value instanceof RowValue.Unusable<UpstreamEntry> u) {
          drop(c, u.reason(), removed);
        }
      }
      upstreamsKnown = true;
      upstreams.all().forEach(listener::onUpstreamListed);
      entries.forEach(listener::onUpstreamListed);
      List<String> missing = upstreams.replaceAll(entries, scheduler.nowMillis());
      log.record("upstreams", Map.of("known", upstreams.size()));
      missing.forEach(id -> log.record("upstream_gone", Map.of("upstream", id)));
      removed.addAll(missing);
      listener.onUpstreamsRemoved(removed);
    }

    @Override
    public void onChanges(List<Change> changes) {
      List<String> removed = new ArrayList<>();
      for (Change c : changes) {
        RowValue<UpstreamEntry> value = rows.upstream().apply(c);
        if (value instanceof RowValue.Unusable<UpstreamEntry> u) {
          drop(c, u.reason(), removed);
          continue;
        }
        unusableUpstreams.onUsable(c.key());
        upstreams.find(c.key()).ifPresent(listener::onUpstreamListed);
        if (value instanceof RowValue.Present<UpstreamEntry> p) {
          upstreams.onWritten(LeavingUpstream.of(p.value()));
          put(p.value());
        } else if (upstreams.remove(c.key(), scheduler.nowMillis())) {
          removed.add(c.key());
          log.record("upstream_gone", Map.of("upstream", c.key()));
        } else if (upstreams.find(c.key()).isPresent()) {
          log.record(
              "upstream_lapsed",
              Map.of("upstream", c.key(), "grace_ms", UpstreamCatalog.REMOVAL_GRACE_MILLIS));
        } else {
          // Its version is not known.
          upstreamRows.onGap();
          log.record("upstream_unseen", Map.of("upstream", c.key()));
        }
      }
      listener.onUpstreamsRemoved(removed);
    }

    /** Stops using the upstream of an odd row at once: the row is there, so none is awaited. */
    private void drop(Change c, String reason, List<String> removed) {
      unusableUpstreams.onUnusable(c, reason);
      if (upstreams.drop(c.key())) {
        removed.add(c.key());
        log.record("upstream_gone", Map.of("upstream", c.key()));
      }
    }

    private void put(UpstreamEntry e) {
      if (upstreams.put(e)) {
        listener.onUpstreamListed(e);
        log.record(
            "upstream",
            Map.of(
                "upstream", e.id(),
                "service", e.service(),
                "address", e.address(),
                "software", e.softwareVersion(),
                "leaving", e.leaving()));
      }
    }
  }
}
