package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;

/**
 * Follows the configuration, the upstreams and the other daemons through the platform's store. Used
 * only on the thread of the event loop.
 */
public final class FleetFollower implements FleetView {

  /** Other daemons only set shares of budgets, which tolerate old numbers. */
  public static final long COUNT_INTERVAL_MILLIS = 5_000;

  /** Assumed before the first count; too many only makes the shares smaller. */
  public static final int UNKNOWN_DAEMONS = 16;

  private static final long RETRY_MILLIS = 500;
  private static final int MAX_COUNT = 500;
  private static final String HOSTS = "hosts//";

  /**
   * Names and formats of the rows that others write.
   *
   * @param configurationTable table with the configuration
   * @param upstreamTable table with the upstreams
   * @param configuration reads a configuration; empty if a row holds none that can be read
   * @param upstream reads an upstream; empty if a row names none that can be used
   */
  public record Rows(
      String configurationTable,
      String upstreamTable,
      Function<Change, Optional<ForwardingTable>> configuration,
      Function<Change, Optional<UpstreamEntry>> upstream) {}

  /**
   * Row of one host.
   *
   * @param incarnation run of its daemon
   * @param address IP number and port at which it receives load reports
   */
  public record HostRow(String incarnation, String address) {}

  /** Is told what changed. */
  public interface Listener {

    /**
     * A newer configuration is in force.
     *
     * @param table the configuration
     */
    void onConfiguration(ForwardingTable table);

    /**
     * Upstreams are gone.
     *
     * @param ids their identities
     */
    void onUpstreamsGone(List<String> ids);

    /**
     * The other daemons are known anew.
     *
     * @param addresses addresses at which they receive load reports
     */
    void onPeers(List<String> addresses);
  }

  private final TableService table;
  private final Scheduler scheduler;
  private final String host;
  private final HostRow self;
  private final Rows rows;
  private final DecisionLog log;
  private final Listener listener;
  private final UpstreamCatalog upstreams = new UpstreamCatalog();
  private final FeedFollower configurations;
  private final FeedFollower upstreamRows;
  private ForwardingTable current;
  private int daemons = UNKNOWN_DAEMONS;
  private boolean upstreamsKnown;
  private boolean stopped;

  /**
   * Creates a follower.
   *
   * @param feed changes of the store's tables
   * @param table the store's tables
   * @param scheduler time and delayed tasks
   * @param host name of this host
   * @param self this run of the daemon
   * @param rows names and formats of the rows that others write
   * @param log receives each change of belief
   * @param listener is told what changed
   * @throws NullPointerException if an argument is null
   */
  public FleetFollower(
      ChangeFeed feed,
      TableService table,
      Scheduler scheduler,
      String host,
      HostRow self,
      Rows rows,
      DecisionLog log,
      Listener listener) {
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.host = Objects.requireNonNull(host, "host");
    this.self = Objects.requireNonNull(self, "self");
    this.rows = Objects.requireNonNull(rows, "rows");
    this.log = Objects.requireNonNull(log, "log");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.configurations =
        new FeedFollower(
            feed, rows.configurationTable(), scheduler, log, new ConfigurationListener());
    this.upstreamRows =
        new FeedFollower(feed, rows.upstreamTable(), scheduler, log, new UpstreamListener());
  }

  /** Starts to follow and registers this daemon. */
  public void start() {
    configurations.start();
    upstreamRows.start();
    register();
    count();
  }

  /** Stops following and takes this daemon out of the count. */
  public void stop() {
    stopped = true;
    configurations.stop();
    upstreamRows.stop();
    var unused =
        table.transact(
            List.of(
                new Mutation(
                    HOSTS + host, new Mutation.Expect.Any(), new Mutation.Change.Delete())));
  }

  /**
   * Tells whether requests can be served.
   *
   * @return true once a configuration and the upstreams are known
   */
  public boolean isReady() {
    return current != null && upstreamsKnown;
  }

  @Override
  public Optional<ForwardingTable> table() {
    return upstreamsKnown ? Optional.ofNullable(current) : Optional.empty();
  }

  @Override
  public UpstreamCatalog upstreams() {
    return upstreams;
  }

  @Override
  public long newsAgeMillis() {
    return upstreamRows.ageMillis();
  }

  @Override
  public int daemons() {
    return daemons;
  }

  private void register() {
    if (stopped) {
      return;
    }
    var unused =
        table
            .transact(List.of(Mutation.put(HOSTS + host, Json.write(self))))
            .thenAccept(
                w -> {
                  if (!(w instanceof WriteResult.Committed)) {
                    scheduler.schedule(RETRY_MILLIS, this::register);
                  }
                });
  }

  private void count() {
    if (stopped) {
      return;
    }
    var unused =
        table
            .scan(HOSTS, "", MAX_COUNT)
            .thenAccept(
                r -> {
                  if (r instanceof ReadResult.Rows rowsFound) {
                    daemons = Math.max(1, rowsFound.rows().size());
                    listener.onPeers(otherAddresses(rowsFound.rows()));
                  }
                });
    scheduler.schedule(COUNT_INTERVAL_MILLIS, this::count);
  }

  private List<String> otherAddresses(List<Row> hosts) {
    List<String> addresses = new ArrayList<>();
    for (Row r : hosts) {
      if (!r.key().equals(HOSTS + host)) {
        addresses.add(Json.read(r.value(), HostRow.class).address());
      }
    }
    return addresses;
  }

  private void takeConfiguration(Change change) {
    Optional<ForwardingTable> read = rows.configuration().apply(change);
    if (read.isEmpty()) {
      return;
    }
    ForwardingTable t = read.get();
    if (current != null && t.version() <= current.version()) {
      return;
    }
    log.record(
        "configuration",
        Map.of("version", t.version(), "before", current == null ? 0 : current.version()));
    current = t;
    listener.onConfiguration(t);
  }

  private final class ConfigurationListener implements FeedFollower.Listener {

    @Override
    public void onRegained() {}

    @Override
    public void onAll(List<Change> all) {
      all.forEach(FleetFollower.this::takeConfiguration);
    }

    @Override
    public void onChanges(List<Change> changes) {
      changes.forEach(FleetFollower.this::takeConfiguration);
    }
  }

  private final class UpstreamListener implements FeedFollower.Listener {

    @Override
    public void onRegained() {
      upstreams.onStoreRegained(scheduler.nowMillis());
    }

    @Override
    public void onAll(List<Change> all) {
      List<UpstreamEntry> entries = new ArrayList<>();
      all.forEach(c -> rows.upstream().apply(c).ifPresent(entries::add));
      upstreams.replaceAll(entries, scheduler.nowMillis());
      upstreamsKnown = true;
      log.record("upstreams", Map.of("known", upstreams.size()));
    }

    @Override
    public void onChanges(List<Change> changes) {
      List<String> gone = new ArrayList<>();
      for (Change c : changes) {
        Optional<UpstreamEntry> entry = rows.upstream().apply(c);
        if (entry.isPresent()) {
          put(entry.get());
        } else if (upstreams.remove(c.key(), scheduler.nowMillis())) {
          gone.add(c.key());
          log.record("upstream_gone", Map.of("upstream", c.key()));
        } else if (upstreams.find(c.key()).isPresent()) {
          log.record(
              "upstream_lapsed",
              Map.of("upstream", c.key(), "grace_ms", UpstreamCatalog.LAPSE_GRACE_MILLIS));
        }
      }
      listener.onUpstreamsGone(gone);
    }

    private void put(UpstreamEntry e) {
      if (upstreams.put(e)) {
        log.record(
            "upstream",
            Map.of(
                "upstream", e.id(),
                "service", e.service(),
                "address", e.address(),
                "leaving", e.leaving()));
      }
    }
  }
}
