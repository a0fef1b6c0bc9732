package org.hibiscusreel.coordination.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.testing.VirtualStoreClock;
import org.hibiscusreel.core.forward.AccountSettings;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.PromptShape;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.WeightedService;

/** A forwarder with scripted upstreams, a recording caller and a virtual clock. */
final class ForwardHarness implements FleetView, UpstreamTransport {

  static final String ACCOUNT = "acme";
  static final int TOKENS_PER_EVENT = 5;
  static final long PREPAID_TOKENS = 10_000;
  static final long TIMEOUT_MILLIS = 2_000;
  static final long TARGET_MILLIS = 200;
  static final long MAX_PAUSE_MILLIS = 100;
  static final long CONFIGURATION_BOUND_MILLIS = 3_000;

  final VirtualScheduler scheduler;
  final FakeTable table;
  final UpstreamCatalog upstreams = new UpstreamCatalog();
  final RouteHistory routes = new RouteHistory();
  final List<Sent> sent = new ArrayList<>();
  final List<String> callerEvents = new ArrayList<>();
  final List<Map<String, Object>> logLines = new ArrayList<>();
  final Map<String, Consumer<StreamReport>> streamReceivers = new HashMap<>();
  final StreamOrigins origins;
  final PrepaidBudgets budgets;
  final UpstreamCrashes crashes;
  final Forwarder forwarder;
  private final RouteTerms terms;
  Refusal refusal;
  boolean callerAcceptsMore = true;
  boolean isStoreReachable = true;
  Runnable onCatchUp = () -> {};
  Runnable onConfigurationCatchUp = () -> {};
  boolean isIsolated;
  boolean areUpstreamsReached = true;
  boolean hasPath = true;
  Predicate<UpstreamEntry> cannotBeSentTo = u -> false;
  Runnable onUpstreamsRead = () -> {};
  Consumer<Sent> onSent = s -> {};
  LongSupplier random = () -> 0;
  ForwardingTable current;
  long configurationAgeMillis;
  long configurationLagMillis;

  /** A request that was passed to the transport. */
  static final class Sent implements Exchange {
    final UpstreamEntry upstream;
    final UpstreamRequest request;
    final Listener listener;
    boolean cancelled;
    boolean paused;
    boolean isRelayed;

    Sent(UpstreamEntry upstream, UpstreamRequest request, Listener listener) {
      this.upstream = upstream;
      this.request = request;
      this.listener = listener;
    }

    void event(int id) {
      bytes("id: " + id + "\ndata: x\n\n");
    }

    void bytes(String text) {
      listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    void head(int status) {
      listener.onHead(status, List.of(new HeaderField("Seal", upstream.id())));
    }

    void respond(int status, String body) {
      head(status);
      bytes(body);
      listener.onEnd();
    }

    void fail(AttemptOutcome outcome) {
      listener.onFailure(outcome, "scripted");
    }

    @Override
    public Optional<String> relay() {
      return isRelayed ? Optional.of("relay") : Optional.empty();
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resumeReading() {
      paused = false;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  /** Terms of the only route. */
  record RouteTerms(RetryPolicy retryPolicy, boolean streamed, int maxAttempts) {}

  ForwardHarness(RetryPolicy retryPolicy, boolean streamed, int maxAttempts, int upstreamCount) {
    this(
        new VirtualScheduler(),
        new NoOpCrashTransport(),
        "d",
        new RouteTerms(retryPolicy, streamed, maxAttempts));
    for (int i = 0; i < upstreamCount; i++) {
      upstreams.put(new UpstreamEntry("u" + i, "s", "127.0.0.1:" + i, "here", false, 4, 0));
    }
  }

  /** Creates one of several daemons on the same clock, without upstreams. */
  ForwardHarness(
      VirtualScheduler scheduler, CrashTransport crashTransport, String address, RouteTerms terms) {
    this(
        scheduler,
        crashTransport,
        address,
        terms,
        new LoadExchange(
            scheduler,
            new NoOpLoadTransport(),
            new LoadExchange.Identity("d.1", address),
            () -> 1,
            () -> 0,
            Set::of,
            v -> {}));
  }

  /** Creates one of several daemons that exchange their loads, without upstreams. */
  ForwardHarness(
      VirtualScheduler scheduler,
      CrashTransport crashTransport,
      String address,
      RouteTerms terms,
      LoadExchange loads) {
    this.scheduler = scheduler;
    this.table = new FakeTable(scheduler);
    this.budgets =
        new PrepaidBudgets(
            table,
            scheduler,
            new VirtualStoreClock(scheduler),
            new PrepaidBudgets.Identity("d", "d.1"),
            800,
            this::daemonCount,
            new HolderCopies(scheduler, new NoOpHolderTransport(), ""),
            (e, f) -> {});
    this.crashes = new UpstreamCrashes(scheduler, crashTransport, address, (e, f) -> {});
    this.origins =
        new StreamOrigins(
            table,
            scheduler,
            new VirtualStoreClock(scheduler),
            this,
            "d",
            800,
            this::daemonCount,
            new FakeStreamTransport(streamReceivers, "d"),
            (e, f) -> {});
    this.forwarder =
        new Forwarder(
            scheduler,
            this,
            this,
            budgets,
            loads,
            crashes,
            origins,
            new ForwardSettings("here", 0.2, 50, CONFIGURATION_BOUND_MILLIS),
            (event, fields) -> logLines.add(fields),
            () -> random.getAsLong());
    this.terms = terms;
    lead("s");
    budgets.updateAccounts(current.accounts());
  }

  /** Puts a configuration into force in which the route leads to services, or is not there. */
  void lead(String... services) {
    List<WeightedService> weighted =
        Arrays.stream(services).map(s -> new WeightedService(s, 1)).toList();
    Route route =
        new Route(
            "r",
            "h",
            "/a/",
            terms.retryPolicy(),
            terms.streamed(),
            TIMEOUT_MILLIS,
            TARGET_MILLIS,
            MAX_PAUSE_MILLIS,
            1,
            weighted,
            terms.maxAttempts(),
            false);
    long version = current == null ? 7 : current.version() + 1;
    current =
        tableOf(
            version,
            weighted.isEmpty() ? List.of() : List.of(route),
            Stream.of("s", "t")
                .map(s -> new ForwardService(s, 10, 4, 0, TOKENS_PER_EVENT))
                .toList());
    routes.onConfiguration(current, scheduler.nowMillis());
  }

  private static ForwardingTable tableOf(
      long version, List<Route> routes, List<ForwardService> services) {
    AccountSettings account =
        new AccountSettings(ACCOUNT, OptionalInt.empty(), OptionalLong.of(PREPAID_TOKENS));
    return new ForwardingTable(
        version,
        new CallerLimits(1, 1, 1),
        routes,
        services,
        List.of(account),
        Map.of("key", ACCOUNT));
  }

  /** Replaces the configured services. */
  void setServices(List<ForwardService> services) {
    current = tableOf(current.version(), current.routes(), services);
  }

  Forwarder.Handle serve(CallerRequest request) {
    Forwarder.Handle handle = begin(request);
    scheduler.run(20);
    return handle;
  }

  /** Passes a request on without running what it has scheduled. */
  Forwarder.Handle begin(CallerRequest request) {
    return forwarder.serve(request, new RecordingCaller());
  }

  static CallerRequest plain(String path, String key) {
    return new CallerRequest(
        "id1",
        "GET",
        "h",
        path,
        path,
        Optional.ofNullable(key),
        Optional.of(1_500L),
        Optional.empty(),
        List.of(),
        new byte[0]);
  }

  static CallerRequest prompt(String... parts) {
    return promptOf(Arrays.stream(parts).map(id -> new PromptShape.Part(id, 100)).toList(), 50);
  }

  static CallerRequest prompt(long promptTokens, long maxOutputTokens) {
    return promptOf(List.of(new PromptShape.Part("p", promptTokens)), maxOutputTokens);
  }

  /** Prompt of so few tokens that thousands fit into the budget. */
  static CallerRequest smallPrompt(String... parts) {
    return promptOf(Arrays.stream(parts).map(id -> new PromptShape.Part(id, 1)).toList(), 1);
  }

  private static CallerRequest promptOf(List<PromptShape.Part> parts, long maxOutputTokens) {
    long promptTokens = parts.stream().mapToLong(PromptShape.Part::tokens).sum();
    PromptShape shape = new PromptShape(promptTokens, maxOutputTokens, parts);
    return new CallerRequest(
        "id2",
        "POST",
        "h",
        "/a/x",
        "/a/x",
        Optional.of("key"),
        Optional.of(5_000L),
        Optional.of(shape),
        List.of(),
        String.valueOf(parts).getBytes(StandardCharsets.UTF_8));
  }

  Sent last() {
    return sent.get(sent.size() - 1);
  }

  String outcome() {
    return String.valueOf(logLines.get(logLines.size() - 1).get("outcome"));
  }

  @Override
  public Exchange send(UpstreamEntry upstream, UpstreamRequest request, Listener listener) {
    if (cannotBeSentTo.test(upstream)) {
      throw new IllegalArgumentException("scripted");
    }
    Sent sentRequest = new Sent(upstream, request, listener);
    sentRequest.isRelayed = isIsolated;
    sent.add(sentRequest);
    if (areUpstreamsReached) {
      scheduler.schedule(1, listener::onConnected);
    }
    onSent.accept(sentRequest);
    return sentRequest;
  }

  @Override
  public boolean isIsolated() {
    return isIsolated;
  }

  @Override
  public boolean hasPath() {
    return hasPath;
  }

  @Override
  public Optional<ForwardingTable> table() {
    return Optional.ofNullable(current);
  }

  @Override
  public RouteHistory routes() {
    return routes;
  }

  @Override
  public long configurationFollowedMillis() {
    return scheduler.nowMillis();
  }

  @Override
  public CompletableFuture<Boolean> catchUpWithConfiguration(long timeoutMillis) {
    if (isStoreReachable) {
      onConfigurationCatchUp.run();
    }
    return CompletableFuture.completedFuture(isStoreReachable);
  }

  @Override
  public UpstreamCatalog upstreams() {
    onUpstreamsRead.run();
    return upstreams;
  }

  @Override
  public long configurationAgeMillis() {
    return configurationAgeMillis;
  }

  @Override
  public long configurationLagMillis() {
    return configurationLagMillis;
  }

  @Override
  public long upstreamDataAgeMillis() {
    return 0;
  }

  @Override
  public long upstreamsFollowedMillis() {
    return scheduler.nowMillis();
  }

  @Override
  public CompletableFuture<Boolean> catchUpWithUpstreams(long timeoutMillis) {
    if (isStoreReachable) {
      onCatchUp.run();
    }
    return CompletableFuture.completedFuture(isStoreReachable);
  }

  @Override
  public int daemonCount() {
    return 2;
  }

  private final class RecordingCaller implements CallerExchange {

    @Override
    public void respond(int status, List<HeaderField> fields, byte[] body) {
      callerEvents.add(status + " " + new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void refuse(Refusal r) {
      refusal = r;
      callerEvents.add(r.kind().name());
    }

    @Override
    public void begin(int status, List<HeaderField> fields) {
      callerEvents.add("begin " + status + " " + fields.get(0).value());
    }

    @Override
    public boolean write(byte[] piece) {
      callerEvents.add(new String(piece, StandardCharsets.UTF_8).lines().findFirst().orElse(""));
      return callerAcceptsMore;
    }

    @Override
    public void end() {
      callerEvents.add("end");
    }

    @Override
    public void abort() {
      callerEvents.add("abort");
    }
  }
}
