package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.ReportedUpstreams;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamEntry;

/**
 * Knows at which version of a service the streams of the last seconds have begun, also those of
 * daemons that have ended. Each daemon records its streams in the store, a few times a second, in
 * rows of a few seconds each that it uses again in turn. It also reports them to the other daemons
 * while several versions are in use or the records can't be written. Used only on the event loop
 * thread.
 */
public final class StreamOrigins {

  /**
   * Time in milliseconds for which a record is kept. Callers wait up to ten seconds for a stream,
   * counted from their first request.
   */
  static final long KEEP_MILLIS = 16_000;

  /** Time whose streams one row has, in milliseconds. */
  static final long ROW_MILLIS = 4_000;

  /** Time that the rows cover, in milliseconds. */
  static final long ROWS_MILLIS = KEEP_MILLIS + ROW_MILLIS;

  /** Number of rows of one host, so that none is used again before its records are too old. */
  static final long ROWS = KEEP_MILLIS / ROW_MILLIS + 1;

  /** Least interval in milliseconds at which new records are written. */
  static final long MIN_WRITE_INTERVAL_MILLIS = 250;

  /**
   * Time in milliseconds for which upstreams of other versions are preferred to those of a version
   * that is not recorded. They may be full.
   */
  static final long MAX_UNRECORDED_MILLIS = 500;

  /** Time in milliseconds after which a write counts as one that fails. */
  static final long MAX_WRITE_MILLIS = 400;

  /** Fraction of the store's write rate that the records of all daemons may use. */
  static final double WRITE_FRACTION = 0.1;

  /** Least interval in milliseconds at which the rows of all daemons are read. */
  static final long MIN_READ_INTERVAL_MILLIS = 100;

  /**
   * Interval of the reads in durations of a read. In a large fleet the rows take up a slow link for
   * a tenth of a second and more.
   */
  static final int READ_INTERVAL_DURATIONS = 5;

  /**
   * Longest interval of the reads in milliseconds. The first read of a process is slow, and callers
   * that take up a stream often have less than a second left.
   */
  static final long MAX_READ_INTERVAL_MILLIS = 400;

  /** Longest wait in milliseconds for the store's changes of the upstreams. */
  static final long CATCH_UP_TIMEOUT_MILLIS = 600;

  /** Time in milliseconds in which each daemon under load sends a report of its versions. */
  static final long PEER_REPORTS_MILLIS =
      VersionEvidence.REPORT_DELAY_MILLIS + LoadExchange.REPEAT_INTERVAL_MILLIS + 100;

  /** Largest number of streams in one row, so that the row stays within the limit of the store. */
  static final int MAX_STREAMS = 2_000;

  /** Length of an identifier above which a stream is not recorded. */
  static final int MAX_ID_LENGTH = 64;

  private static final String PREFIX = "streams//";
  private static final String ERA_SUFFIX = ".era";
  private static final int MAX_ROWS = 500;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Answer to the question at what a stream has begun. */
  public sealed interface Found {

    /**
     * The stream can go on only at upstreams like this one.
     *
     * @param origin service and version
     */
    record Known(StreamOrigin origin) implements Found {}

    /** It can't be known any more. */
    record Unknown() implements Found {}

    /** The store can't be asked now. */
    record Unavailable() implements Found {}
  }

  /** What an answer was concluded from. */
  private enum Source {
    NONE,
    /** This daemon, at which the stream has begun or was taken up before. */
    OWN,
    /** The record of the stream in the store. */
    RECORD,
    /** The report of the daemon at which the stream began. */
    REPORT,
    /** The versions in the rows of all daemons and in the view of this one. */
    ROWS,
    /** The view of this daemon alone. */
    VIEW,
    /** The view of this daemon and the reports of all others. */
    PEERS
  }

  private record Begun(StreamOrigin origin, long atMillis, Source source, boolean isDisputed) {

    /** Returns this record if it agrees with another one, and a disputed one otherwise. */
    Begun beside(Begun other) {
      boolean agrees = !other.isDisputed && other.origin.equals(origin);
      return new Begun(origin, atMillis, source, !agrees);
    }

    Found found() {
      return isDisputed ? new Found.Unknown() : new Found.Known(origin);
    }
  }

  private record Lookup(
      Supplier<Set<String>> services,
      Optional<String> request,
      long askedAtMillis,
      long untilMillis,
      CompletableFuture<Found> found) {

    boolean isOpen() {
      return !found.isDone();
    }
  }

  /** A read of the rows and of the changes of the upstreams and the configuration in progress. */
  private static final class Reading {
    private final List<Lookup> asked;
    private final List<Row> rows = new ArrayList<>();
    private Optional<Boolean> isCurrent = Optional.empty(); // empty until the answer is known
    private boolean isScanning;
    private boolean isScanned;
    private boolean hasFailed;

    Reading(List<Lookup> asked) {
      this.asked = asked;
    }

    boolean isStoreLost() {
      return hasFailed || isCurrent.equals(Optional.of(false));
    }

    boolean hasOpenLookups() {
      return asked.stream().anyMatch(Lookup::isOpen);
    }
  }

  private final TableService table;
  private final Scheduler scheduler;
  private final StoreClock clock;
  private final FleetView fleet;
  private final String host;
  private final double writesPerSecond;
  private final IntSupplier daemons;
  private final StreamTransport transport;
  private final DecisionLog log;
  private final Map<String, Begun> known = new LinkedHashMap<>();
  private final TreeMap<Long, Map<String, StreamOrigin>> ownRows = new TreeMap<>();
  private final TreeMap<Long, OriginRow> earlierRows = new TreeMap<>(); // of the run before
  private final Set<Long> unwritten = new TreeSet<>();
  private final VersionEvidence evidence;
  private final StreamExchange exchange;
  private final ReportedUpstreams reported = new ReportedUpstreams();
  private final List<Lookup> lookups = new ArrayList<>();
  private Set<StreamOrigin> written = Set.of(); // versions that the newest row names
  private Set<Long> writtenRoutes = Set.of();
  private final Map<StreamOrigin, Long> unrecordedSinceMillis = new HashMap<>();
  private Cancellable nextRead = () -> {};
  private boolean isReading;
  private Optional<Reading> current = Optional.empty();
  private boolean isReadScheduled;
  private boolean isWriting;
  private boolean isStoreLost; // the last write has failed or takes long
  private long writeBeganAtMillis;
  private boolean areOwnRowsKnown;
  private long readBeganAtMillis = Long.MIN_VALUE / 2;
  private long readMillis; // duration of the last read
  private long writtenRow = -1;
  private boolean isEraWritten;
  private boolean stopped;

  /**
   * Creates the records.
   *
   * @param table the platform's table
   * @param scheduler clock and delayed tasks
   * @param clock clock of the store
   * @param fleet known upstreams
   * @param host name of this host
   * @param writesPerSecond write rate that the store accepts from all daemons together
   * @param daemons number of daemons that write records
   * @param transport reports streams to the other daemons
   * @param log receives what can't be found
   * @throws NullPointerException if an argument is null
   */
  public StreamOrigins(
      TableService table,
      Scheduler scheduler,
      StoreClock clock,
      FleetView fleet,
      String host,
      double writesPerSecond,
      IntSupplier daemons,
      StreamTransport transport,
      DecisionLog log) {
    this.table = Objects.requireNonNull(table, "table");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.fleet = Objects.requireNonNull(fleet, "fleet");
    this.host = Objects.requireNonNull(host, "host");
    this.writesPerSecond = writesPerSecond;
    this.daemons = Objects.requireNonNull(daemons, "daemons");
    this.transport = Objects.requireNonNull(transport, "transport");
    this.log = Objects.requireNonNull(log, "log");
    this.evidence = new VersionEvidence(scheduler, clock, fleet, daemons);
    this.exchange = new StreamExchange(scheduler, transport, fleet, this::isReportNeeded);
  }

  /** Reads the records of all daemons and starts to write those of this one. */
  public void start() {
    transport.receiveStreams(this::onPeerStreams);
    read();
    scheduler.schedule(writeIntervalMillis(), this::writeAll);
  }

  /**
   * Sets the addresses of the other daemons.
   *
   * @param addresses addresses at which they receive reports
   */
  public void onPeers(List<String> addresses) {
    exchange.onPeers(addresses);
  }

  /** Stops writing and reporting records. */
  public void stop() {
    stopped = true;
    exchange.stop();
    nextRead.cancel();
  }

  private long writeIntervalMillis() {
    double seconds = daemons.getAsInt() / (WRITE_FRACTION * writesPerSecond);
    return Math.max(MIN_WRITE_INTERVAL_MILLIS, (long) (seconds * MILLIS_PER_SECOND));
  }

  /**
   * Records that the first event of a stream has come.
   *
   * @param request identifier of the request that brought it
   * @param origin service and version of the upstream
   */
  void onBegun(String request, StreamOrigin origin) {
    if (request.isEmpty() || request.length() > MAX_ID_LENGTH) {
      return;
    }
    // The oldest record comes first, so that expired ones are found without a search.
    Begun earlier = known.remove(request);
    Begun begun = new Begun(origin, scheduler.nowMillis(), Source.OWN, false);
    known.put(request, earlier == null ? begun : begun.beside(earlier));
    if (earlier != null && !earlier.origin().equals(origin)) {
      recordDispute(request, earlier, begun);
    }
    exchange.onBegun(request, origin);
    long number = currentRow();
    Map<String, StreamOrigin> row = ownRows.computeIfAbsent(number, n -> new LinkedHashMap<>());
    if (row.size() < MAX_STREAMS) {
      row.put(request, origin);
      unwritten.add(number);
    }
  }

  /**
   * Records that an upstream is listed, or was until now. The view is looked at only now and then.
   *
   * @param upstream its entry
   * @return true if its version was not known
   */
  public boolean onListed(UpstreamEntry upstream) {
    exchange.onListed(upstream);
    boolean isNew = evidence.onListed(upstream);
    if (isNew) {
      exchange.onVersionsChanged();
      if (writeIntervalMillis() == MIN_WRITE_INTERVAL_MILLIS) {
        // The daemons of a large fleet together would exceed what the store takes.
        scheduler.schedule(0, this::writeChanges);
      }
    }
    return isNew;
  }

  /**
   * Returns whether the rows of this daemon name a version, or could not for a while. Streams
   * should begin only at such upstreams: where no row names a version, other daemons conclude that
   * no stream began at it.
   *
   * @param origin service and version
   */
  boolean isRecorded(StreamOrigin origin) {
    long now = scheduler.nowMillis();
    long since = unrecordedSinceMillis.getOrDefault(origin, now);
    return written.contains(origin) || now - since > MAX_UNRECORDED_MILLIS;
  }

  /**
   * Returns the versions that this daemon has seen lately, for reports to the others.
   *
   * @return a copy
   */
  public Set<StreamOrigin> seenVersions() {
    return evidence.seenVersions();
  }

  /**
   * Records the versions that another daemon has seen lately.
   *
   * @param sender incarnation of the daemon
   * @param versions the versions
   */
  public void onPeerVersions(String sender, Collection<StreamOrigin> versions) {
    evidence.onReport(sender, versions);
    exchange.onVersionsChanged();
  }

  /**
   * Returns whether the others have to be told of the streams of a service. They read the records
   * of this daemon if it can write them, and need none if all streams begin at one version.
   */
  private boolean isReportNeeded(String service) {
    return isStoreLost || evidence.isAmbiguous(service);
  }

  /** Reports the streams whose route may lead to another service from now on. */
  public void onConfiguration() {
    exchange.onVersionsChanged();
  }

  /**
   * Records the version of the configuration that another daemon has confirmed lately.
   *
   * @param version version of the configuration, 0 if none
   */
  public void onPeerConfiguration(long version) {
    evidence.onPeerConfiguration(version);
  }

  private void onPeerStreams(StreamReport report) {
    long now = scheduler.nowMillis();
    for (StreamReport.Streams s : report.streams()) {
      s.requests().forEach(r -> learn(r, s.origin(), now, Source.REPORT));
    }
    report.upstreams().forEach(u -> reported.add(u, now));
    List.copyOf(lookups).forEach(this::endIfKnown);
  }

  /**
   * Returns the upstreams that can go on with a stream and of which other daemons have told lately.
   * The store may list them no more.
   *
   * @param origin what began the stream
   */
  List<UpstreamEntry> reportedUpstreams(StreamOrigin origin) {
    return reported.continuing(origin, scheduler.nowMillis());
  }

  /**
   * Records what another daemon says of a stream. Where two name different origins, one of them has
   * gone on with it wrongly.
   */
  private void learn(String request, StreamOrigin origin, long atMillis, Source source) {
    Begun told = new Begun(origin, atMillis, source, false);
    Begun earlier = known.putIfAbsent(request, told);
    if (earlier == null) {
      evidence.onStream(origin, atMillis);
    } else if (!earlier.origin().equals(origin) && !earlier.isDisputed()) {
      known.put(request, earlier.beside(told));
      recordDispute(request, earlier, told);
    }
  }

  private void recordDispute(String request, Begun one, Begun other) {
    log.record(
        "stream_origin_disputed",
        Map.of(
            "request",
            request,
            "origins",
            List.of(one.origin().toString(), other.origin().toString()),
            "sources",
            List.of(nameOf(one.source()), nameOf(other.source()))));
  }

  private static String nameOf(Source source) {
    return source.name().toLowerCase(Locale.ROOT);
  }

  private long currentRow() {
    return clock.millis() / ROW_MILLIS;
  }

  /**
   * Finds at what a stream has begun.
   *
   * @param request identifier of the request that brought its first event, or empty
   * @param host host name of its requests
   * @param path path of its requests without the query
   * @param timeoutMillis longest time to wait for the store, in milliseconds
   * @return the answer; completes on the event loop and never exceptionally
   */
  CompletableFuture<Found> find(
      Optional<String> request, String host, String path, long timeoutMillis) {
    expire();
    Supplier<Set<String>> services =
        () -> fleet.routes().services(host, path, scheduler.nowMillis());
    Optional<Begun> begun = request.map(known::get);
    if (begun.isPresent()) {
      Found found = begun.get().found();
      record(request, services.get(), found, begun.get().source(), 0);
      return CompletableFuture.completedFuture(found);
    }
    // A record may be written up to an interval after the first event.
    long waitMillis = Math.min(timeoutMillis, writeIntervalMillis() + readIntervalMillis());
    long now = scheduler.nowMillis();
    Lookup lookup = new Lookup(services, request, now, now + waitMillis, new CompletableFuture<>());
    lookups.add(lookup);
    scheduler.schedule(timeoutMillis, () -> end(lookup, new Found.Unavailable(), Source.NONE));
    if (current.filter(Reading::isStoreLost).isPresent()) {
      awaitPeers(lookup);
    }
    scheduleRead();
    return lookup.found();
  }

  private void end(Lookup lookup, Found found, Source source) {
    if (lookups.remove(lookup)) {
      long took = scheduler.nowMillis() - lookup.askedAtMillis();
      record(lookup.request(), lookup.services().get(), found, source, took);
      lookup.found().complete(found);
    }
  }

  private void record(
      Optional<String> request, Set<String> services, Found found, Source source, long tookMillis) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("request", request.orElse(""));
    fields.put("service", services.size() == 1 ? services.iterator().next() : "");
    fields.put("services", List.copyOf(services));
    fields.put(
        "candidates",
        evidence.candidates(services).stream().map(StreamOrigin::softwareVersion).toList());
    fields.put("source", nameOf(source));
    fields.put("took_ms", tookMillis);
    fields.put("upstreams_age_ms", fleet.upstreamDataAgeMillis());
    fields.put("followed_ms", fleet.upstreamsFollowedMillis());
    fields.put("configuration", fleet.table().map(ForwardingTable::version).orElse(0L));
    fields.put("daemons", evidence.daemonCount());
    fields.put("reporting", evidence.reportingCount(services));
    if (found instanceof Found.Known k) {
      fields.put("origin_service", k.origin().service());
      fields.put("outcome", k.origin().softwareVersion());
    } else {
      fields.put("outcome", found.getClass().getSimpleName());
    }
    log.record("stream_origin", fields);
  }

  private void scheduleRead() {
    if (isReading || isReadScheduled || stopped) {
      return;
    }
    isReadScheduled = true;
    long waitMillis = readBeganAtMillis + readIntervalMillis() - scheduler.nowMillis();
    nextRead = scheduler.schedule(Math.max(0, waitMillis), this::read);
  }

  private void read() {
    isReadScheduled = false;
    isReading = true;
    readBeganAtMillis = scheduler.nowMillis();
    Reading reading = new Reading(List.copyOf(lookups));
    current = Optional.of(reading);
    var unused =
        fleet
            .catchUpWithUpstreams(CATCH_UP_TIMEOUT_MILLIS)
            .thenCombine(
                fleet.catchUpWithConfiguration(CATCH_UP_TIMEOUT_MILLIS), Boolean::logicalAnd)
            .thenAccept(isCurrent -> onCaughtUp(reading, isCurrent));
    // Where the view will be enough, the rows need not be read; in a large fleet they are many.
    boolean isViewEnough =
        reading.asked.stream().allMatch(l -> evidence.byView(l.services().get()).isPresent());
    if (!areOwnRowsKnown || !isViewEnough) {
      scan(reading, "");
    }
  }

  private void onCaughtUp(Reading reading, boolean isCurrent) {
    reading.isCurrent = Optional.of(isCurrent);
    if (!isCurrent) {
      // Those that came since would wait for a read that may hang for longer.
      List.copyOf(lookups).forEach(this::awaitPeers);
    } else {
      reading.asked.forEach(
          l ->
              evidence
                  .byView(l.services().get())
                  .ifPresent(o -> end(l, new Found.Known(o), Source.VIEW)));
    }
    if (!reading.isScanning && reading.hasOpenLookups()) {
      scan(reading, "");
    }
    endReading(reading);
  }

  private void scan(Reading reading, String after) {
    reading.isScanning = true;
    var unused = table.scan(PREFIX, after, MAX_ROWS).thenAccept(r -> onScanned(reading, r));
  }

  private void onScanned(Reading reading, ReadResult result) {
    if (!(result instanceof ReadResult.Rows r)) {
      reading.hasFailed = true;
      reading.asked.forEach(this::awaitPeers);
    } else {
      reading.rows.addAll(r.rows());
      if (r.more() && !r.rows().isEmpty()) {
        scan(reading, r.rows().get(r.rows().size() - 1).key());
        return;
      }
      apply(reading.rows);
      reading.asked.forEach(this::endIfKnown);
    }
    reading.isScanned = true;
    readMillis = scheduler.nowMillis() - readBeganAtMillis;
    endReading(reading);
  }

  private void endIfKnown(Lookup lookup) {
    lookup.request().map(known::get).ifPresent(b -> end(lookup, b.found(), b.source()));
  }

  /** Ends a read once both the rows and the upstreams of now are known, or can't be. */
  private void endReading(Reading reading) {
    if (reading.isCurrent.isEmpty() || reading.isScanning != reading.isScanned) {
      return;
    }
    isReading = false;
    current = Optional.empty();
    if (reading.isCurrent.get() && reading.isScanned && !reading.hasFailed) {
      reading.asked.forEach(this::endFromRows);
    }
    if (!areOwnRowsKnown || !lookups.isEmpty()) {
      scheduleRead();
    }
  }

  private void endFromRows(Lookup lookup) {
    Optional<StreamOrigin> only = evidence.byRows(lookup.services().get());
    if (only.isPresent()) {
      end(lookup, new Found.Known(only.get()), Source.ROWS);
    } else if (lookup.request().isEmpty() || scheduler.nowMillis() >= lookup.untilMillis()) {
      end(lookup, new Found.Unknown(), Source.ROWS);
    }
  }

  /** Asks the other daemons for what the store can't be asked. */
  private void awaitPeers(Lookup lookup) {
    long waitMillis = lookup.askedAtMillis() + PEER_REPORTS_MILLIS - scheduler.nowMillis();
    scheduler.schedule(Math.max(0, waitMillis), () -> endFromPeers(lookup));
  }

  private void endFromPeers(Lookup lookup) {
    Optional<StreamOrigin> only = evidence.byPeers(lookup.services().get(), lookup.askedAtMillis());
    if (only.isPresent()) {
      end(lookup, new Found.Known(only.get()), Source.PEERS);
    } else {
      end(lookup, new Found.Unavailable(), Source.NONE);
    }
  }

  private long readIntervalMillis() {
    long spreadMillis = Math.min(MAX_READ_INTERVAL_MILLIS, READ_INTERVAL_DURATIONS * readMillis);
    return Math.max(MIN_READ_INTERVAL_MILLIS, spreadMillis);
  }

  private void apply(List<Row> rows) {
    evidence.onEra(table.era());
    evidence.onRead();
    Map<String, OriginRow> contents = new LinkedHashMap<>(); // by key of the row
    Map<String, Long> newest = new HashMap<>(); // by host
    for (Row r : rows) {
      try {
        if (r.key().endsWith(ERA_SUFFIX)) {
          evidence.onRow(Json.readExact(r.value(), EraRow.class));
        } else {
          OriginRow content = OriginRow.parse(r.value());
          contents.put(r.key(), content);
          newest.merge(hostOf(r.key()), content.atMillis(), Math::max);
        }
      } catch (IOException e) {
        // Another writer may have spoilt the row; the others hold.
        log.record("stream_origins_unusable", Map.of("row", r.key()));
      }
    }
    contents.forEach((key, content) -> apply(key, content, newest.get(hostOf(key))));
    areOwnRowsKnown = true;
  }

  private void apply(String key, OriginRow content, long newestAtMillis) {
    long ageMillis = Math.max(0, clock.millis() - content.atMillis());
    if (ageMillis > ROWS_MILLIS) {
      if (ageMillis <= RouteHistory.KEEP_MILLIS && content.atMillis() == newestAtMillis) {
        evidence.onOutdatedRow(content);
      }
      return;
    }
    long atMillis = scheduler.nowMillis() - ageMillis;
    boolean isOwn = hostOf(key).equals(PREFIX + host);
    evidence.onRow(content, atMillis);
    if (isOwn && !areOwnRowsKnown) {
      earlierRows.put(content.atMillis() / ROW_MILLIS, content);
    }
    for (OriginRow.Streams s : content.streams()) {
      StreamOrigin origin = new StreamOrigin(s.service(), s.software());
      for (String request : s.requests()) {
        learn(request, origin, atMillis, Source.RECORD);
        if (isOwn && !areOwnRowsKnown) {
          // An earlier run of this host has written into the row.
          ownRows
              .computeIfAbsent(content.atMillis() / ROW_MILLIS, n -> new LinkedHashMap<>())
              .putIfAbsent(request, origin);
        }
      }
    }
  }

  /** Returns the part of a row's key that the rows of its host have in common. */
  private static String hostOf(String key) {
    int end = key.lastIndexOf('.');
    return end < 0 ? key : key.substring(0, end);
  }

  private void expire() {
    long oldest = scheduler.nowMillis() - KEEP_MILLIS;
    var it = known.values().iterator();
    while (it.hasNext() && it.next().atMillis() < oldest) {
      it.remove();
    }
  }

  private void writeAll() {
    if (stopped) {
      return;
    }
    scheduler.schedule(writeIntervalMillis(), this::writeAll);
    writeChanges();
  }

  private void writeChanges() {
    if (stopped) {
      return;
    }
    expire();
    long oldest = currentRow() - ROWS + 1;
    ownRows.headMap(oldest).clear();
    earlierRows.headMap(oldest).clear();
    unwritten.removeIf(n -> n < oldest);
    if (isWriting && scheduler.nowMillis() - writeBeganAtMillis > MAX_WRITE_MILLIS) {
      onStoreLost();
    }
    if (evidence.onEra(table.era())) {
      unwritten.addAll(ownRows.keySet());
      writtenRow = -1;
      written = Set.of();
      isEraWritten = false;
    }
    Set<StreamOrigin> versions = seenVersions();
    Set<Long> routes = evidence.servedRoutes();
    versions.stream()
        .filter(v -> !written.contains(v))
        .forEach(v -> unrecordedSinceMillis.putIfAbsent(v, scheduler.nowMillis()));
    unrecordedSinceMillis.keySet().retainAll(versions);
    // Without streams, too, the rows tell which versions were in use.
    boolean isNew = !versions.equals(written) || !routes.equals(writtenRoutes);
    if (isNew || writtenRow != currentRow()) {
      unwritten.add(currentRow());
    }
    if (!isWriting && areOwnRowsKnown && clock.millis() > 0 && !unwritten.isEmpty()) {
      write(versions, routes);
    }
  }

  private void write(Set<StreamOrigin> versions, Set<Long> routes) {
    isWriting = true;
    writeBeganAtMillis = scheduler.nowMillis();
    List<Long> numbers = List.copyOf(unwritten);
    unwritten.clear();
    List<Mutation> rows = new ArrayList<>();
    for (long n : numbers) {
      rows.add(Mutation.put(key(n), toRow(n, versions, routes).toText()));
    }
    final boolean hasEra = !isEraWritten;
    if (hasEra) {
      rows.add(Mutation.put(PREFIX + host + ERA_SUFFIX, Json.write(evidence.era())));
    }
    var unused =
        table
            .transact(rows)
            .thenAccept(
                w -> {
                  isWriting = false;
                  isStoreLost = !(w instanceof WriteResult.Committed);
                  if (!isStoreLost) {
                    written = versions;
                    unrecordedSinceMillis.keySet().removeAll(versions);
                    writtenRoutes = routes;
                    isEraWritten |= hasEra;
                    writtenRow = numbers.get(numbers.size() - 1);
                  } else {
                    unwritten.addAll(numbers);
                    onStoreLost();
                  }
                });
  }

  /** Reports the streams whose records could not be written. */
  private void onStoreLost() {
    isStoreLost = true;
    exchange.onVersionsChanged();
  }

  private String key(long number) {
    return PREFIX + host + "." + number % ROWS;
  }

  private OriginRow toRow(long number, Set<StreamOrigin> seen, Set<Long> routes) {
    Set<StreamOrigin> versions = new HashSet<>(seen);
    Set<Long> allRoutes = new HashSet<>(routes);
    Optional.ofNullable(earlierRows.get(number))
        .ifPresent(
            earlier -> {
              versions.addAll(earlier.origins());
              earlier.routes().ifPresent(allRoutes::addAll);
            });
    Map<String, List<String>> software = new TreeMap<>();
    versions.forEach(
        o ->
            software.computeIfAbsent(o.service(), s -> new ArrayList<>()).add(o.softwareVersion()));
    Map<StreamOrigin, List<String>> streams = new LinkedHashMap<>();
    ownRows
        .getOrDefault(number, Map.of())
        .forEach((id, o) -> streams.computeIfAbsent(o, k -> new ArrayList<>()).add(id));
    List<OriginRow.Versions> v = new ArrayList<>();
    software.forEach((service, names) -> v.add(new OriginRow.Versions(service, names)));
    List<OriginRow.Streams> s = new ArrayList<>();
    streams.forEach(
        (o, ids) -> s.add(new OriginRow.Streams(o.service(), o.softwareVersion(), ids)));
    long atMillis = Math.min(clock.millis(), (number + 1) * ROW_MILLIS - 1);
    return new OriginRow(atMillis, v, s, Optional.of(List.copyOf(allRoutes)));
  }
}
