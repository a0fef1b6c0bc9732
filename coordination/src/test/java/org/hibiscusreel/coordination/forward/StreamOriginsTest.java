package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hibiscusreel.coordination.forward.StreamOrigins.Found;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.testing.VirtualStoreClock;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamOriginsTest {

  private static final long TIMEOUT_MILLIS = 800;
  private static final long START_MILLIS = 50_000;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final Map<String, Consumer<StreamReport>> receivers = new HashMap<>();
  private long era;
  private String routedAtStart = "s";
  private Optional<ForwardingTable> configuredAtStart = Optional.empty();

  /** Table of a store that names its era. */
  private record EraTable(TableService table, LongSupplier eras) implements TableService {

    @Override
    public long era() {
      return eras.getAsLong();
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      return table.transact(mutations);
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return table.read(keys);
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return table.scan(prefix, after, limit);
    }
  }

  /** Daemon on a host, with the upstreams that it knows. */
  private final class Daemon implements FleetView {

    private final UpstreamCatalog catalog = new UpstreamCatalog();
    private final String host;
    private final RouteHistory routes = new RouteHistory();
    private StreamOrigins origins;
    private final FakeStreamTransport transport;
    private final List<Map<String, Object>> lines = new ArrayList<>();
    private boolean alive = true;
    private int count = 2;
    private boolean isStoreReachable = true;
    private boolean isInStep = true;
    private List<String> listed;
    private ForwardingTable configured; // the newest one of the store
    private ForwardingTable current;
    private long configuredSinceMillis = scheduler.nowMillis();
    private long knownSinceMillis = scheduler.nowMillis();

    private Daemon(String host, List<String> versions) {
      this(host, versions, table);
    }

    private Daemon(String host, List<String> versions, TableService store) {
      this.host = host;
      transport = new FakeStreamTransport(receivers, host);
      use(versions);
      lead(configuredAtStart.orElseGet(() -> configuration(routedAtStart)));
      origins =
          new StreamOrigins(
              new EraTable(new KillableTable(store, () -> alive && isStoreReachable), () -> era),
              scheduler,
              new VirtualStoreClock(scheduler),
              this,
              host,
              800,
              this::daemonCount,
              transport,
              (e, f) -> lines.add(f));
      origins.start();
    }

    /** Lets the operator move the route, of which the daemon hears if it is in step. */
    private void configure(String... services) {
      configured = configuration(services);
      if (isInStep) {
        lead(configured);
      }
    }

    private void lead(ForwardingTable table) {
      configured = table;
      if (current == null || current.version() != table.version()) {
        current = table;
        routes.onConfiguration(table, scheduler.nowMillis());
        if (origins != null) {
          origins.onConfiguration();
        }
      }
    }

    /** Lets the store list versions, of which the daemon hears if it is in step. */
    private void follow(List<String> versions) {
      listed = List.copyOf(versions);
      if (isInStep) {
        use(listed);
      }
    }

    private void use(List<String> versions) {
      listed = List.copyOf(versions);
      List<UpstreamEntry> entries = new ArrayList<>();
      versions.forEach(v -> entries.add(upstream(v)));
      catalog.replaceAll(entries, scheduler.nowMillis());
    }

    private Found find(String request) {
      CompletableFuture<Found> found =
          origins.find(Optional.ofNullable(request), "h", "/a/x", TIMEOUT_MILLIS);
      scheduler.run(TIMEOUT_MILLIS);
      return found.join();
    }

    private void kill() {
      alive = false;
      origins.stop();
    }

    @Override
    public Optional<ForwardingTable> table() {
      return Optional.ofNullable(current);
    }

    @Override
    public long configurationAgeMillis() {
      return 0;
    }

    @Override
    public long configurationLagMillis() {
      return 0;
    }

    @Override
    public RouteHistory routes() {
      return routes;
    }

    @Override
    public long configurationFollowedMillis() {
      return scheduler.nowMillis() - configuredSinceMillis;
    }

    @Override
    public CompletableFuture<Boolean> catchUpWithConfiguration(long timeoutMillis) {
      return catchUp(timeoutMillis, () -> lead(configured));
    }

    @Override
    public UpstreamCatalog upstreams() {
      return catalog;
    }

    @Override
    public long upstreamDataAgeMillis() {
      return 0;
    }

    @Override
    public long upstreamsFollowedMillis() {
      return scheduler.nowMillis() - knownSinceMillis;
    }

    @Override
    public CompletableFuture<Boolean> catchUpWithUpstreams(long timeoutMillis) {
      return catchUp(timeoutMillis, () -> use(listed));
    }

    private CompletableFuture<Boolean> catchUp(long timeoutMillis, Runnable update) {
      CompletableFuture<Boolean> answer = new CompletableFuture<>();
      scheduler.schedule(timeoutMillis, () -> answer.complete(false));
      if (alive && isStoreReachable) {
        scheduler.schedule(
            2,
            () -> {
              if (!table.isDown) {
                update.run();
              }
              answer.complete(!table.isDown);
            });
      }
      return answer;
    }

    @Override
    public int daemonCount() {
      return count;
    }
  }

  /** Returns an upstream of the service s, or of another one that comes before a slash. */
  private static UpstreamEntry upstream(String version) {
    StreamOrigin o = origin(version);
    return new UpstreamEntry(
        "u-" + version, o.service(), "127.0.0.1:1", "d", false, 4, o.softwareVersion(), 0);
  }

  private static StreamOrigin origin(String version) {
    int slash = version.indexOf('/');
    return slash < 0
        ? new StreamOrigin("s", version)
        : new StreamOrigin(version.substring(0, slash), version.substring(slash + 1));
  }

  /** Returns a configuration whose version tells the services to which the route leads. */
  private static ForwardingTable configuration(String... services) {
    Route route =
        new Route(
            "r",
            "h",
            "/a/",
            RetryPolicy.RESUMABLE,
            true,
            8_000,
            600,
            250,
            1,
            Arrays.stream(services).map(s -> new WeightedService(s, 1)).toList(),
            2,
            false);
    return new ForwardingTable(
        List.of(services).hashCode() & Integer.MAX_VALUE,
        new CallerLimits(1, 1, 1),
        List.of(route),
        List.of(),
        List.of(),
        Map.of());
  }

  /**
   * Guards against a stream that goes on at another version after the daemon that began it has
   * ended, and against one that is refused although there is no doubt.
   */
  @ParameterizedTest
  @CsvSource({
    "v1, 1_000, 'v1', 'v1,v2', id, v1",
    "v1, 1_000, 'v1,v2', 'v2', id, v1",
    "v1, 10, 'v1', 'v1', id, v1",
    "v1, 10, 'v1', 'v1', , v1",
    "v1, 10, 'v1', 'v2', id, ",
    "v1, 10, 'v1,v2', 'v1,v2', id, ",
    "v1, 1_000, 'v1,v2', 'v1,v2', other, ",
    "v1, 1_000, 'v1,v2', 'v1,v2', , "
  })
  void findsWhatBeganTheStreamOfAnEndedDaemon(
      String begunAt,
      String millisUntilKill,
      String before,
      String after,
      String named,
      String expected) {
    scheduler.run(START_MILLIS);
    Daemon first = new Daemon("a", List.of(before.split(",")));
    scheduler.run(2_000);
    first.origins.onBegun("id", origin(begunAt));
    scheduler.run(Long.parseLong(millisUntilKill.replace("_", "")));
    first.kill();
    scheduler.run(1_500);
    Daemon second = new Daemon("b", List.of(after.split(",")));
    scheduler.run(300);
    assertThat(second.find(named))
        .isEqualTo(expected == null ? new Found.Unknown() : new Found.Known(origin(expected)));
  }

  /** Table whose scans take some time. */
  private final class SlowTable implements TableService {

    private long delayMillis;
    private long writeDelayMillis;

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      CompletableFuture<WriteResult> late = new CompletableFuture<>();
      scheduler.schedule(
          writeDelayMillis,
          () -> {
            var unused = table.transact(mutations).thenAccept(late::complete);
          });
      return late;
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return table.read(keys);
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      CompletableFuture<ReadResult> late = new CompletableFuture<>();
      scheduler.schedule(
          delayMillis,
          () -> {
            var unused = table.scan(prefix, after, limit).thenAccept(late::complete);
          });
      return late;
    }
  }

  /** Guards against callers that wait in vain because an earlier read of the records was slow. */
  @Test
  void asksAgainSoonAfterSlowRead() {
    SlowTable slow = new SlowTable();
    slow.delayMillis = 900;
    scheduler.run(START_MILLIS);
    Daemon d = new Daemon("a", List.of("v1", "v2"), slow);
    scheduler.run(1_000);
    slow.delayMillis = 0;
    CompletableFuture<Found> found = d.origins.find(Optional.of("id"), "h", "/a/x", 1_500);
    scheduler.run(900);
    assertThat(found).isCompletedWithValue(new Found.Unknown());
  }

  /**
   * Guards against a false answer while the store can't be asked, also if only a daemon that has
   * started lately confirms it, and against a needless refusal.
   */
  @ParameterizedTest
  @CsvSource({
    "1_000, 1_000, v1, false",
    "30_000, 30_000, v1, true",
    "30_000, 10_000, v1, false",
    "30_000, 30_000, 'v1,v2', false",
    "30_000, 30_000, v2, false",
    "30_000, 30_000, '', false",
    "30_000, 30_000, , false"
  })
  void answersWithoutTheStoreOnlyWhatAllDaemonsConfirm(
      String upMillis, String heardMillis, String reported, boolean isKnown) {
    scheduler.run(START_MILLIS);
    final Daemon d = new Daemon("a", List.of("v1"));
    long heard = Long.parseLong(heardMillis.replace("_", ""));
    scheduler.run(Long.parseLong(upMillis.replace("_", "")) - heard);
    runHearing(d, heard);
    table.isDown = true;
    // An earlier report tells nothing of streams that began since.
    d.origins.onPeerVersions("b", List.of(origin("v1")));
    final CompletableFuture<Found> found =
        d.origins.find(Optional.of("id"), "h", "/a/x", TIMEOUT_MILLIS);
    // Nor does one that may have been sent before the question.
    d.origins.onPeerVersions("b", List.of(origin("v1")));
    scheduler.run(VersionEvidence.REPORT_DELAY_MILLIS + 50);
    if (reported != null) {
      d.origins.onPeerVersions(
          "b",
          Arrays.stream(reported.split(","))
              .filter(v -> !v.isEmpty())
              .map(StreamOriginsTest::origin)
              .toList());
    }
    scheduler.run(TIMEOUT_MILLIS);
    assertThat(found.join())
        .isEqualTo(isKnown ? new Found.Known(origin("v1")) : new Found.Unavailable());
  }

  /**
   * Guards against a needless refusal without the store in a fleet with few requests: a daemon that
   * had nothing to report for a while is the same incarnation as before, and has not just started.
   */
  @ParameterizedTest
  @CsvSource({"10_000, b.1, true", "20_000, b.1, true", "20_000, b.2, false"})
  void countsDaemonThatWasIdleAsRunning(String idleMillis, String incarnation, boolean isKnown) {
    scheduler.run(START_MILLIS);
    final Daemon d = new Daemon("a", List.of("v1"));
    scheduler.run(30_000);
    d.origins.onPeerVersions("b.1", List.of(origin("v1")));
    scheduler.run(Long.parseLong(idleMillis.replace("_", "")));
    // The first report after the pause makes the records of silent daemons expire.
    d.origins.onPeerVersions(incarnation, List.of(origin("v1")));
    scheduler.run(8_000);
    table.isDown = true;
    final CompletableFuture<Found> found =
        d.origins.find(Optional.of("id"), "h", "/a/x", TIMEOUT_MILLIS);
    scheduler.run(VersionEvidence.REPORT_DELAY_MILLIS + 50);
    d.origins.onPeerVersions(incarnation, List.of(origin("v1")));
    scheduler.run(TIMEOUT_MILLIS);
    assertThat(found.join())
        .isEqualTo(isKnown ? new Found.Known(origin("v1")) : new Found.Unavailable());
  }

  /**
   * Guards against streams that are refused, or go on at another version, since their daemon has
   * ended and the store turns the other one away that knows no upstream of the new version.
   */
  @ParameterizedTest
  @CsvSource({
    "v1, false, 0, 40, v1",
    "v2, false, 0, 40, v2",
    "v2, false, 1, 300, v2",
    "v1, true, 0, 40, v1",
    "v1, true, 1, 300, v1",
    "v2, false, 0, 10, ",
    "v2, false, 2, 300, "
  })
  void findsStreamOfAnEndedDaemonWithoutTheStore(
      String begunAt, boolean isVersionNewer, int losses, long millisUntilKill, String expected) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"));
    final Daemon second = new Daemon("b", List.of("v1"));
    first.origins.onPeers(List.of("b"));
    scheduler.run(30_000);
    second.isStoreReachable = false;
    second.isInStep = false;
    first.transport.losses = losses;
    if (isVersionNewer) {
      first.origins.onBegun("id", origin(begunAt));
      scheduler.run(1_000);
    }
    first.follow(List.of("v1", "v2"));
    first.origins.onListed(upstream("v2"));
    if (!isVersionNewer) {
      first.origins.onBegun("id", origin(begunAt));
    }
    scheduler.run(millisUntilKill);
    first.kill();
    assertThat(second.find("id"))
        .isEqualTo(expected == null ? new Found.Unavailable() : new Found.Known(origin(expected)));
    if ("v2".equals(expected)) {
      assertThat(second.origins.reportedUpstreams(origin("v2"))).containsExactly(upstream("v2"));
    }
  }

  /** Guards against reports that take up the links while there is nothing to tell apart. */
  @Test
  void reportsNoStreamsWhileOneVersionIsInUse() {
    scheduler.run(START_MILLIS);
    Daemon first = new Daemon("a", List.of("v1"));
    first.origins.onPeers(List.of("b"));
    List<StreamReport> reports = new ArrayList<>();
    receivers.put("b", reports::add);
    first.origins.onBegun("id", origin("v1"));
    scheduler.run(1_000);
    assertThat(reports).isEmpty();
  }

  /**
   * Guards against daemons that lost the store together and confirm to each other a version, while
   * the one that knew of another has ended.
   */
  @Test
  void needsReportsOfTheDaemonThatHasEnded() {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"));
    final Daemon asked = new Daemon("b", List.of("v1"));
    asked.count = 3;
    runHearing(asked, 30_000);
    asked.isStoreReachable = false;
    asked.isInStep = false;
    first.follow(List.of("v1", "v2"));
    first.origins.onBegun("id", origin("v2"));
    scheduler.run(1_000);
    first.kill();
    CompletableFuture<Found> found =
        asked.origins.find(Optional.of("id"), "h", "/a/x", TIMEOUT_MILLIS);
    scheduler.run(VersionEvidence.REPORT_DELAY_MILLIS + 50);
    runHearing(asked, TIMEOUT_MILLIS);
    assertThat(found.join()).isEqualTo(new Found.Unavailable());
  }

  /**
   * Guards against streams that nobody can take up once their daemon has ended, since it could not
   * write their records.
   */
  @ParameterizedTest
  @CsvSource({"true, 1_500", "false, 400"})
  void reportsStreamsWhoseRecordsAreNotWritten(boolean isSilent, String millis) {
    SlowTable store = new SlowTable();
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"), store);
    final Daemon asked = new Daemon("b", List.of("v1"));
    connect(List.of(first, asked));
    scheduler.run(20_000);
    first.origins.onBegun("before", origin("v1"));
    scheduler.run(100);
    asked.isStoreReachable = false;
    if (isSilent) {
      store.writeDelayMillis = 60_000;
    } else {
      table.isDown = true;
    }
    first.origins.onBegun("id", origin("v1"));
    scheduler.run(Long.parseLong(millis.replace("_", "")));
    first.kill();
    assertThat(asked.find("id")).isEqualTo(new Found.Known(origin("v1")));
    assertThat(asked.find("before")).isEqualTo(new Found.Known(origin("v1")));
  }

  /** Guards against a count of daemons that is that of a moment in which others restarted. */
  @Test
  void needsReportsOfTheDaemonsOfLately() {
    scheduler.run(START_MILLIS);
    Daemon d = new Daemon("a", List.of("v1"));
    scheduler.run(30_000);
    d.count = 1;
    table.isDown = true;
    assertThat(d.find("id")).isEqualTo(new Found.Unavailable());
  }

  /** Lets a daemon hear the reports of another one. */
  private void runHearing(Daemon daemon, long millis) {
    for (long at = 0; at < millis; at += LoadExchange.REPEAT_INTERVAL_MILLIS) {
      daemon.origins.onPeerVersions("b", List.of(origin("v1")));
      scheduler.run(LoadExchange.REPEAT_INTERVAL_MILLIS);
    }
  }

  /** Guards against callers that wait in vain for peers while the store does not respond at all. */
  @Test
  void asksPeersWhileTheStoreIsSilent() {
    SlowTable silent = new SlowTable();
    scheduler.run(START_MILLIS);
    final Daemon d = new Daemon("a", List.of("v1"), silent);
    runHearing(d, 30_000);
    silent.delayMillis = 60_000;
    table.isDown = true;
    final CompletableFuture<Found> found = d.origins.find(Optional.of("id"), "h", "/a/x", 1_500);
    scheduler.run(300);
    d.origins.onPeerVersions("b", List.of(origin("v1")));
    scheduler.run(1_200);
    assertThat(found).isCompletedWithValue(new Found.Known(origin("v1")));
  }

  /** Guards against callers that wait for a read that hangs, since they came after it had begun. */
  @ParameterizedTest
  @CsvSource({"300", "650", "900"})
  void asksPeersForQuestionsThatComeDuringRead(long millisAfterFirst) {
    SlowTable silent = new SlowTable();
    scheduler.run(START_MILLIS);
    final Daemon d = new Daemon("a", List.of("v1"), silent);
    runHearing(d, 30_000);
    silent.delayMillis = 60_000;
    table.isDown = true;
    var unused = d.origins.find(Optional.of("other"), "h", "/a/x", 1_500);
    scheduler.run(millisAfterFirst);
    final CompletableFuture<Found> found = d.origins.find(Optional.of("id"), "h", "/a/x", 1_500);
    scheduler.run(300);
    d.origins.onPeerVersions("b", List.of(origin("v1")));
    scheduler.run(StreamOrigins.PEER_REPORTS_MILLIS);
    assertThat(found).isCompletedWithValue(new Found.Known(origin("v1")));
  }

  /** Guards against a record that comes too late since other calls to a slow store come first. */
  @Test
  void findsRecordWhileTheStoreIsSlow() {
    SlowTable slow = new SlowTable();
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1", "v2"));
    final Daemon second = new Daemon("b", List.of("v1", "v2"), slow);
    scheduler.run(30_000);
    first.origins.onBegun("id", origin("v2"));
    scheduler.run(500);
    slow.delayMillis = 600;
    second.isStoreReachable = false;
    CompletableFuture<Found> found = second.origins.find(Optional.of("id"), "h", "/a/x", 1_500);
    second.isStoreReachable = true;
    scheduler.run(700);
    assertThat(found).isCompletedWithValue(new Found.Known(origin("v2")));
  }

  /**
   * Guards against a version that another daemon still uses although the store lists it no more.
   */
  @Test
  void countsVersionsThatOthersReport() {
    scheduler.run(START_MILLIS);
    Daemon d = new Daemon("a", List.of("v2"));
    scheduler.run(30_000);
    d.origins.onPeerVersions("b", List.of(origin("v1"), origin("v2")));
    assertThat(d.find("id")).isEqualTo(new Found.Unknown());
  }

  /**
   * Guards against a host that starts again and overwrites what its earlier run has recorded of a
   * version, or of a configuration, that is no longer in use.
   */
  @ParameterizedTest
  @CsvSource({"true, false", "false, true", "false, false"})
  void keepsWhatAnEarlierRunOfTheHostHasRecorded(boolean isVersionGone, boolean isRouteMoved) {
    scheduler.run(START_MILLIS);
    final Daemon first =
        new Daemon("a", isVersionGone ? List.of("v1", "v2") : List.of("v1", "t/v1"));
    scheduler.run(1_000);
    if (isRouteMoved) {
      first.configure("t");
      scheduler.run(500);
      routedAtStart = "t";
    }
    first.kill();
    final Daemon again = new Daemon("a", List.of("v1", "t/v1"));
    scheduler.run(500);
    again.kill();
    Daemon asked = new Daemon("b", List.of("v1", "t/v1"));
    scheduler.run(500);
    assertThat(asked.find("id"))
        .isEqualTo(
            isVersionGone || isRouteMoved ? new Found.Unknown() : new Found.Known(origin("s/v1")));
  }

  /** Guards against a version that is in use for long before any other host can learn of it. */
  @Test
  void recordsNewVersionAtOnce() {
    scheduler.run(START_MILLIS);
    Daemon d = new Daemon("a", List.of("v1"));
    scheduler.run(1_000);
    d.follow(List.of("v1", "v2"));
    d.origins.onListed(upstream("v2"));
    assertThat(d.origins.isRecorded(origin("v2"))).isFalse();
    scheduler.run(StreamOrigins.MIN_WRITE_INTERVAL_MILLIS / 5);
    assertThat(d.origins.isRecorded(origin("v2"))).isTrue();
    era++;
    scheduler.run(StreamOrigins.MIN_WRITE_INTERVAL_MILLIS);
    assertThat(d.origins.isRecorded(origin("v2"))).isTrue();
    table.isDown = true;
    era++;
    scheduler.run(StreamOrigins.MIN_WRITE_INTERVAL_MILLIS);
    assertThat(d.origins.isRecorded(origin("v2"))).isFalse();
  }

  /** Guards against rows that are taken for proof although no stream began for a while. */
  @Test
  void recordsVersionsWithoutStreams() {
    scheduler.run(START_MILLIS);
    Daemon first = new Daemon("a", List.of("v1", "v2"));
    scheduler.run(30_000);
    first.kill();
    scheduler.run(1_500);
    Daemon second = new Daemon("b", List.of("v2"));
    scheduler.run(300);
    assertThat(second.find("id")).isEqualTo(new Found.Unknown());
  }

  /** Guards against records and versions that an older copy of the store lacks. */
  @ParameterizedTest
  @CsvSource({"true, true", "true, false", "false, true", "false, false"})
  void concludesNothingFromTheRowsOfRestoredStore(boolean isFresh, boolean isOtherAlive) {
    era = 1;
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"));
    final Daemon other = new Daemon("c", List.of("v1"));
    Daemon asked = new Daemon("b", List.of("v1"));
    scheduler.run(30_000);
    final List<Row> copy = table.all("streams//");
    asked.isStoreReachable = false;
    asked.isInStep = false;
    first.follow(List.of("v1", "v2"));
    other.follow(List.of("v1", "v2"));
    first.origins.onBegun("id", origin("v2"));
    scheduler.run(3_000);
    first.kill();
    if (!isOtherAlive) {
      other.kill();
    }
    scheduler.run(1_000);
    table.all("streams//").forEach(r -> table.remove(r.key()));
    copy.forEach(r -> table.putText(r.key(), r.value()));
    era++;
    other.follow(List.of("v1"));
    if (isFresh) {
      asked.kill();
      asked = new Daemon("b", List.of("v1"));
    } else {
      asked.isStoreReachable = true;
      asked.isInStep = true;
      asked.knownSinceMillis = scheduler.nowMillis();
    }
    assertThat(asked.find("id")).isEqualTo(new Found.Unknown());
  }

  /** Guards against a fleet that refuses all unknown streams long after the store was restored. */
  @Test
  void concludesFromRowsOnceTheEraIsOld() {
    era = 2;
    scheduler.run(START_MILLIS);
    Daemon first = new Daemon("a", List.of("v1"));
    scheduler.run(StreamOrigins.ROWS_MILLIS + 1_000);
    first.kill();
    scheduler.run(500);
    Daemon second = new Daemon("b", List.of("v1"));
    scheduler.run(300);
    assertThat(second.find("id")).isEqualTo(new Found.Known(origin("v1")));
  }

  /**
   * Guards against a stream that goes on at another service, since its route was moved while it
   * ran: known to all, before its record was written, while the asked daemon is behind, has just
   * started or can't ask the store, and while other daemons are behind.
   */
  @ParameterizedTest
  @CsvSource({
    "s, true, true, false, 1_000, 1_000, s/v1",
    "s, true, true, false, 1_000, 10, ",
    "s, true, true, false, 0, 10, ",
    "s, true, true, false, 20_000, 10, ",
    "s, true, true, true, 1_000, 10, ",
    "s, true, true, true, 1_000, 1_000, s/v1",
    "t, false, true, false, 1_000, 1_000, t/v1",
    "t, false, true, false, 1_000, 10, ",
    "t, false, false, false, 1_000, 1_000, t/v1",
    "t, false, false, false, 1_000, 10, "
  })
  void concludesNoServiceFromOneConfigurationAlone(
      String begunAt,
      boolean isInStep,
      boolean isStoreReachable,
      boolean isStartedAfterMove,
      String millisAfterMove,
      String millisUntilKill,
      String expected) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1", "t/v1"));
    Daemon asked = new Daemon("b", List.of("v1", "t/v1"));
    connect(List.of(first, asked));
    scheduler.run(30_000);
    asked.isInStep = isInStep;
    asked.isStoreReachable = isStoreReachable;
    first.isInStep = begunAt.equals("t");
    first.configure("t");
    asked.configure("t");
    scheduler.run(Long.parseLong(millisAfterMove.replace("_", "")));
    first.origins.onBegun("id", origin(begunAt + "/v1"));
    scheduler.run(Long.parseLong(millisUntilKill.replace("_", "")));
    first.kill();
    if (isStartedAfterMove) {
      asked.kill();
      routedAtStart = "t";
      asked = new Daemon("b", List.of("v1", "t/v1"));
      scheduler.run(500);
    }
    Found found = asked.find("id");
    if (expected == null) {
      assertThat(found).isNotInstanceOf(Found.Known.class);
    } else {
      assertThat(found).isEqualTo(new Found.Known(origin(expected)));
    }
  }

  /**
   * Guards against a stream that goes on at another version, since it began at a daemon that is cut
   * off from the store and all others and goes on using a version that was removed a while ago.
   */
  @ParameterizedTest
  @CsvSource({"10_000", "17_000", "30_000", "50_000"})
  void concludesNoVersionWhileCutOffDaemonUsesRemovedOne(String millisAfterRemoval) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"));
    final Daemon asked = new Daemon("b", List.of("v1"));
    scheduler.run(30_000);
    first.isInStep = false;
    first.isStoreReachable = false;
    first.follow(List.of("v2"));
    asked.follow(List.of("v1", "v2"));
    scheduler.run(1_000);
    asked.follow(List.of("v2"));
    scheduler.run(Long.parseLong(millisAfterRemoval.replace("_", "")));
    first.origins.onBegun("id", origin("v1"));
    scheduler.run(1_000);
    first.kill();
    assertThat(asked.find("id")).isNotInstanceOf(Found.Known.class);
  }

  /**
   * Guards against a stream that goes on at another service, since it began by an outdated
   * configuration at a daemon that is cut off from the store, and the asked daemon has started
   * after the move of the route.
   */
  @ParameterizedTest
  @CsvSource({
    "10_000, 1_000, false",
    "40_000, 1_000, false",
    "40_000, 1_000, true",
    "22_000, 17_000, false",
    "22_000, 17_000, true"
  })
  void concludesNoServiceSoonAfterStartWhileCutOffDaemonUsesAnother(
      String millisFromMoveToStart, String millisFromStart, boolean isHeard) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1", "t/v1"));
    final Daemon other = new Daemon("c", List.of("v1", "t/v1"));
    scheduler.run(30_000);
    first.isInStep = false;
    first.isStoreReachable = false;
    first.configure("t");
    other.configure("t");
    scheduler.run(Long.parseLong(millisFromMoveToStart.replace("_", "")));
    routedAtStart = "t";
    Daemon asked = new Daemon("b", List.of("v1", "t/v1"));
    scheduler.run(Long.parseLong(millisFromStart.replace("_", "")));
    if (isHeard) {
      asked.origins.onPeerConfiguration(first.current.version());
    }
    first.origins.onBegun("id", origin("s/v1"));
    scheduler.run(10);
    first.kill();
    assertThat(asked.find("id")).isNotInstanceOf(Found.Known.class);
  }

  /**
   * Guards against streams that are refused long after a release, since each run of a host takes
   * over what the one before has seen as if it had seen it itself until its end.
   */
  @ParameterizedTest
  @CsvSource({"0, true", "1, true", "3, true", "6, true"})
  void forgetsVersionThatIsGoneAlthoughItsHostRestartsOften(int restarts, boolean isKnown) {
    scheduler.run(START_MILLIS);
    Daemon first = new Daemon("a", List.of("v1", "v2"));
    scheduler.run(1_000);
    first.follow(List.of("v2"));
    for (int i = 0; i < restarts; i++) {
      scheduler.run(12_000);
      first.kill();
      first = new Daemon("a", List.of("v2"));
    }
    scheduler.run(Math.max(0, 40_000 - restarts * 12_000L));
    Daemon asked = new Daemon("b", List.of("v2"));
    scheduler.run(500);
    assertThat(asked.find("id"))
        .isEqualTo(isKnown ? new Found.Known(origin("v2")) : new Found.Unknown());
  }

  /**
   * Guards against streams that are refused by each daemon that has started lately, since a shorter
   * prefix of their path leads to another service, although no configuration has changed.
   */
  @ParameterizedTest
  @CsvSource({"1_000", "20_000", "59_000", "62_000"})
  void findsServiceBesideShorterPrefixSoonAfterStart(String millisFromStart) {
    scheduler.run(START_MILLIS);
    configuredAtStart = Optional.of(nested());
    new Daemon("a", List.of("v1", "t/v1"));
    scheduler.run(70_000);
    Daemon asked = new Daemon("b", List.of("v1", "t/v1"));
    scheduler.run(Long.parseLong(millisFromStart.replace("_", "")));
    assertThat(asked.find("id")).isEqualTo(new Found.Known(origin("t/v1")));
  }

  /** Returns a configuration in which the path of the streams has a prefix that leads elsewhere. */
  private static ForwardingTable nested() {
    List<Route> routes = new ArrayList<>();
    for (String prefix : List.of("/a/x", "/a/")) {
      String service = prefix.equals("/a/x") ? "t" : "s";
      routes.add(
          new Route(
              prefix,
              "h",
              prefix,
              RetryPolicy.RESUMABLE,
              true,
              8_000,
              600,
              250,
              1,
              List.of(new WeightedService(service, 1)),
              2,
              false));
    }
    return new ForwardingTable(
        7, new CallerLimits(1, 1, 1), routes, List.of(), List.of(), Map.of());
  }

  /**
   * Guards against streams that each daemon refuses that has started lately, since a configuration
   * that leaves their route as it was has just replaced another one.
   */
  @ParameterizedTest
  @CsvSource({"500, 500", "5_000, 500", "5_000, 12_000", "30_000, 500", "40_000, 500"})
  void findsServiceThatNewerConfigurationLeavesAlone(String millisToStart, String millisFromStart) {
    scheduler.run(START_MILLIS);
    Daemon first = new Daemon("a", List.of("v1"));
    scheduler.run(30_000);
    ForwardingTable newer = newerConfiguration();
    configuredAtStart = Optional.of(newer);
    first.lead(newer);
    scheduler.run(Long.parseLong(millisToStart.replace("_", "")));
    Daemon asked = new Daemon("b", List.of("v1"));
    scheduler.run(Long.parseLong(millisFromStart.replace("_", "")));
    assertThat(asked.find("id")).isEqualTo(new Found.Known(origin("v1")));
  }

  /** Returns a configuration that leads the route as that at the start does. */
  private static ForwardingTable newerConfiguration() {
    ForwardingTable c = configuration("s");
    return new ForwardingTable(
        c.version() + 1, new CallerLimits(1, 1, 1), c.routes(), List.of(), List.of(), Map.of());
  }

  /**
   * Guards against a stream that goes on at another version after an outage of the store at whose
   * end all hosts start again: the only rows of lately are those of daemons that have just started.
   */
  @ParameterizedTest
  @CsvSource({"5_000, 1", "15_000, 1", "22_000, 1", "22_000, 2", "60_000, 2"})
  void concludesNothingFromRowsOfDaemonsThatHaveJustStarted(String outageMillis, int started) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1", "v2"));
    scheduler.run(30_000);
    table.isDown = true;
    scheduler.run(Long.parseLong(outageMillis.replace("_", "")));
    first.origins.onBegun("id", origin("v2"));
    scheduler.run(1_000);
    first.kill();
    table.isDown = false;
    Daemon asked = new Daemon("b", List.of("v1"));
    if (started > 1) {
      new Daemon("a", List.of("v1"));
    }
    scheduler.run(500);
    assertThat(asked.find("id")).isNotInstanceOf(Found.Known.class);
  }

  /** Guards against a stream that goes on although daemons tell of different origins. */
  @ParameterizedTest
  @CsvSource({"v1, v1, true", "v1, v2, false", "v2, v1, false"})
  void namesNoOriginThatIsDisputed(String reported, String recorded, boolean isKnown) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1", "v2"));
    final Daemon asked = new Daemon("b", List.of("v1", "v2"));
    scheduler.run(1_000);
    receivers
        .get("b")
        .accept(
            new StreamReport(
                List.of(new StreamReport.Streams(origin(reported), List.of("id"))), List.of()));
    first.origins.onBegun("id", origin(recorded));
    scheduler.run(1_000);
    // The rows are read for the stream that is not known.
    asked.find("other");
    assertThat(asked.find("id"))
        .isEqualTo(isKnown ? new Found.Known(origin(reported)) : new Found.Unknown());
  }

  /**
   * Guards against a dispute that is forgotten because this daemon has gone on with the stream
   * after the other origin was reported, not before.
   */
  @ParameterizedTest
  @CsvSource({"true, v1", "true, v2", "false, v1", "false, v2"})
  void remembersDisputeWithItsOwnTakeUpInEitherOrder(boolean isReportedFirst, String reported) {
    scheduler.run(START_MILLIS);
    final Daemon asked = new Daemon("b", List.of("v1", "v2"));
    scheduler.run(1_000);
    StreamReport report =
        new StreamReport(
            List.of(new StreamReport.Streams(origin(reported), List.of("id"))), List.of());
    if (isReportedFirst) {
      receivers.get("b").accept(report);
    }
    asked.origins.onBegun("id", origin("v1"));
    if (!isReportedFirst) {
      receivers.get("b").accept(report);
    }
    scheduler.run(100);
    assertThat(asked.find("id"))
        .isEqualTo(reported.equals("v1") ? new Found.Known(origin("v1")) : new Found.Unknown());
  }

  /**
   * Guards against a daemon that has just started and goes on with a stream at another version than
   * the one that a running daemon has heard of in reports, of the version or of the stream itself.
   */
  @ParameterizedTest
  @CsvSource({"true, 1_000", "true, 40_000", "false, 1_000", "false, 40_000"})
  void concludesNoVersionAgainstWhatOthersHaveHeard(boolean isStream, String millisAfterRemoval) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1", "v2"));
    final Daemon second = new Daemon("b", List.of("v1", "v2"));
    scheduler.run(30_000);
    first.isInStep = false;
    first.isStoreReachable = false;
    second.follow(List.of("v1"));
    scheduler.run(Long.parseLong(millisAfterRemoval.replace("_", "")));
    second.origins.onPeerVersions("a", first.origins.seenVersions());
    if (isStream) {
      first.origins.onPeers(List.of("b"));
    }
    first.origins.onBegun("id", origin("v2"));
    scheduler.run(1_000);
    first.kill();
    if (isStream) {
      assertThat(second.find("id")).isEqualTo(new Found.Known(origin("v2")));
    }
    Daemon asked = new Daemon("c", List.of("v1"));
    scheduler.run(500);
    assertThat(asked.find("id")).isNotEqualTo(new Found.Known(origin("v1")));
  }

  /** Guards against answers whose evidence, and its age, can't be told from the log. */
  @ParameterizedTest
  @CsvSource({"own, 71_000, 1", "record, 71_000, 1", "view, 71_000, 1", "none, 0, 0"})
  void logsFromWhatAnAnswerWasConcluded(String source, String followedMillis, int reporting) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"));
    final Daemon asked = new Daemon("b", List.of("v1"));
    scheduler.run(70_000);
    if (source.equals("record")) {
      asked.follow(List.of("v1", "v2"));
      first.origins.onBegun("id", origin("v1"));
    } else if (source.equals("own")) {
      asked.origins.onBegun("id", origin("v1"));
    }
    asked.isStoreReachable = !source.equals("none");
    scheduler.run(1_000);
    if (reporting > 0) {
      asked.origins.onPeerVersions("a", List.of(origin("v1")));
    } else {
      asked.knownSinceMillis = scheduler.nowMillis();
    }
    asked.find("id");
    Map<String, Object> line = asked.lines.get(asked.lines.size() - 1);
    assertThat(line)
        .containsEntry("source", source)
        .containsEntry("outcome", reporting > 0 ? "v1" : "Unavailable")
        .containsEntry("daemons", 2)
        .containsEntry("reporting", (long) reporting);
    long followed = Long.parseLong(followedMillis.replace("_", ""));
    assertThat((long) line.get("followed_ms")).isBetween(followed, followed + TIMEOUT_MILLIS);
  }

  /** Guards against a version that came and went between two looks at the catalog. */
  @Test
  void remembersVersionThatWasListedOnlyBriefly() {
    scheduler.run(START_MILLIS);
    Daemon d = new Daemon("a", List.of("v1"));
    scheduler.run(30_000);
    d.origins.onListed(upstream("v2"));
    assertThat(d.find("id")).isEqualTo(new Found.Unknown());
  }

  /** Guards against a version that came and went while the changes were not received. */
  @Test
  void concludesNothingFromItsViewAloneAfterGap() {
    scheduler.run(START_MILLIS);
    Daemon d = new Daemon("a", List.of("v1"));
    scheduler.run(30_000);
    d.knownSinceMillis = scheduler.nowMillis();
    new Daemon("b", List.of("v1", "v2"));
    scheduler.run(1_000);
    assertThat(d.find("id")).isEqualTo(new Found.Unknown());
  }

  /**
   * Guards against a stream that goes on at an old version at a daemon that is cut off from the
   * store or has stood still while upstreams of a new version joined.
   */
  @ParameterizedTest
  @CsvSource({"true, id", "false, id", "true, ", "false, "})
  void concludesNoVersionFromAnOutdatedView(boolean isStoreReachable, String named) {
    scheduler.run(START_MILLIS);
    final Daemon first = new Daemon("a", List.of("v1"));
    final Daemon second = new Daemon("b", List.of("v1"));
    scheduler.run(30_000);
    second.isStoreReachable = isStoreReachable;
    second.isInStep = false;
    first.follow(List.of("v1", "v2"));
    second.follow(List.of("v1", "v2"));
    first.origins.onBegun("id", origin("v2"));
    scheduler.run(10);
    first.kill();
    assertThat(second.find(named)).isNotEqualTo(new Found.Known(origin("v1")));
  }

  /**
   * Guards against streams that go on at another version, whatever versions come and go while
   * daemons are killed, and against records that get lost with a restart of their host.
   */
  @Property(tries = 150, seed = "20261206")
  void neverNamesAnotherVersion(@ForAll long seed) {
    new StreamOriginsTest().playDay(new Random(seed), false);
  }

  /** Guards against streams that go on at another version at daemons that are out of step. */
  @Property(tries = 150, seed = "20261206")
  void neverNamesAnotherVersionWhileDaemonsAreOutOfStep(@ForAll long seed) {
    new StreamOriginsTest().playDay(new Random(seed), true);
  }

  /** Lets a daemon fall out of step, with or without the store, or brings it back. */
  private static void changeStep(Daemon daemon, Random random) {
    switch (random.nextInt(40)) {
      case 0 -> daemon.isInStep = false;
      case 1 -> {
        daemon.isInStep = false;
        daemon.isStoreReachable = false;
      }
      case 2, 3 -> {
        daemon.isInStep = true;
        daemon.isStoreReachable = true;
      }
      default -> {
        // Nothing changes in most steps.
      }
    }
  }

  /** Lets each daemon report its versions to the others, which hear it also without the store. */
  private static void reportVersions(List<Daemon> daemons) {
    for (Daemon sender : daemons) {
      for (Daemon receiver : daemons) {
        if (receiver != sender) {
          receiver.origins.onPeerVersions(sender.host, sender.origins.seenVersions());
        }
      }
    }
  }

  private static void connect(List<Daemon> daemons) {
    List<String> hosts = daemons.stream().map(d -> d.host).toList();
    daemons.forEach(d -> d.origins.onPeers(hosts.stream().filter(h -> !h.equals(d.host)).toList()));
  }

  private void playDay(Random random, boolean fallOutOfStep) {
    scheduler.run(START_MILLIS);
    List<String> versions = new ArrayList<>(List.of("v1"));
    List<Daemon> daemons = new ArrayList<>();
    for (int h = 0; h < 3; h++) {
      daemons.add(new Daemon("h" + h, versions));
    }
    connect(daemons);
    scheduler.run(fallOutOfStep ? 2 * StreamOrigins.KEEP_MILLIS : 0);
    int next = 2;
    int found = 0;
    int sought = 0;
    for (int round = 0; round < 4; round++) {
      final Map<String, StreamOrigin> streams = new HashMap<>();
      final int streamsInRound = 20 + random.nextInt(40);
      for (int i = 0; i < streamsInRound; i++) {
        scheduler.run(random.nextInt(150));
        if (random.nextInt(15) == 0) {
          versions.add("v" + next++);
        }
        if (versions.size() > 1 && random.nextInt(15) == 0) {
          versions.remove(0);
        }
        if (fallOutOfStep) {
          daemons.forEach(d -> changeStep(d, random));
        }
        daemons.forEach(d -> d.follow(versions));
        Daemon daemon = daemons.get(random.nextInt(3));
        daemon.transport.losses = random.nextInt(4) == 0 ? 1 : 0;
        List<UpstreamEntry> known = List.copyOf(daemon.catalog.all());
        StreamOrigin origin = StreamOrigin.of(known.get(random.nextInt(known.size())));
        String id = round + "." + i;
        streams.put(id, origin);
        daemon.origins.onBegun(id, origin);
      }
      final boolean areAllKilled = random.nextBoolean();
      for (int h = 0; h < 3; h++) {
        if (areAllKilled || random.nextBoolean()) {
          daemons.get(h).kill();
          daemons.set(h, null);
        }
      }
      scheduler.run(500 + random.nextInt(2_000));
      if (random.nextBoolean()) {
        versions.add("v" + next++);
      }
      for (int h = 0; h < 3; h++) {
        if (daemons.get(h) == null) {
          daemons.set(h, new Daemon("h" + h, versions));
        }
        daemons.get(h).follow(versions);
      }
      connect(daemons);
      scheduler.run(500);
      List<CompletableFuture<Found>> answers = new ArrayList<>();
      List<StreamOrigin> expected = new ArrayList<>();
      streams.forEach(
          (id, origin) -> {
            answers.add(
                daemons
                    .get(random.nextInt(3))
                    .origins
                    .find(Optional.of(id), "h", "/a/x", TIMEOUT_MILLIS));
            expected.add(origin);
          });
      for (int i = 0; i < 4; i++) {
        scheduler.run(TIMEOUT_MILLIS / 4);
        reportVersions(daemons);
      }
      for (int i = 0; i < answers.size(); i++) {
        sought++;
        if (answers.get(i).join() instanceof Found.Known k) {
          found++;
          assertThat(k.origin()).isEqualTo(expected.get(i));
        }
      }
    }
    assertThat(found).isGreaterThanOrEqualTo(sought / (fallOutOfStep ? 4 : 2));
  }
}
