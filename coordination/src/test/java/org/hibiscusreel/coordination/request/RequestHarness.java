package org.hibiscusreel.coordination.request;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.budget.ReservationResult;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.claim.ClaimResult;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.budget.Reservation;
import org.hibiscusreel.core.config.ClientAccount;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ModelSettings;
import org.hibiscusreel.core.config.PlainService;
import org.hibiscusreel.core.config.RequestClass;
import org.hibiscusreel.core.config.ServiceMethod;
import org.hibiscusreel.core.config.ServingDefaults;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.core.routing.LocalityPolicy;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.core.timeline.TimelineEvent;

/** A request service with scripted ports and a virtual clock. */
final class RequestHarness implements BudgetReservations, Billing, Claims, MembershipView {
  static final String FINGERPRINT = "ab".repeat(32);

  final VirtualScheduler scheduler = new VirtualScheduler();
  final ScriptedEngines engines = new ScriptedEngines(scheduler);
  final List<TimelineEvent> events = new ArrayList<>();
  final List<RequestOutcome> outcomes = new ArrayList<>();
  final List<Bill> bills = new ArrayList<>();
  final Map<String, Long> closedReservations = new HashMap<>();
  final Set<String> leaving = new HashSet<>();
  final List<String> claimCalls = new ArrayList<>();
  final List<String> serviceCalls = new ArrayList<>();
  final Map<String, Row> rows = new HashMap<>();
  ReservationResult reservationResult;
  ClaimResult claimResult;
  boolean withdrawalCommitted = true;
  Optional<LookUp> claimLookUp = Optional.empty();
  PlainServiceClient.Result serviceResult;
  boolean hasBillingSpace = true;
  int acquiredBills;
  int accountLimit;
  int engineLimit = 8;
  private long reservations;
  private Configuration configuration;
  private Consumer<Configuration> configurationListener = c -> {};
  DefaultRequestService service;

  void start(int engineCount) {
    service = new DefaultRequestService(dependencies());
    service.start();
    configure(engineCount);
  }

  private RequestDependencies dependencies() {
    EventRecorder recorder =
        new EventRecorder(new HybridClock(scheduler::wallMillis), "host.1", events::add);
    NodeDependencies ports =
        new NodeDependencies(
            scheduler,
            proxy(TableService.class, this::read),
            null,
            null,
            proxy(PeerTransport.class, a -> CompletableFuture.completedFuture(Optional.empty())),
            engines,
            this::callService,
            events::add,
            new Random(5)::nextLong);
    return new RequestDependencies(
        ports,
        recorder,
        new ConfigurationHolder(),
        this,
        this,
        this,
        this,
        new LocalityPolicy(),
        (u, l, t) -> {},
        outcomes::add);
  }

  private static <T> T proxy(Class<T> type, Function<Object[], CompletableFuture<?>> answer) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(), new Class<?>[] {type}, (p, m, args) -> answer.apply(args)));
  }

  private CompletableFuture<ReadResult> read(Object[] args) {
    List<Row> found = new ArrayList<>();
    for (Object key : (List<?>) args[0]) {
      Optional.ofNullable(rows.get(key)).ifPresent(found::add);
    }
    return CompletableFuture.completedFuture(new ReadResult.Rows(found, false));
  }

  private CompletableFuture<PlainServiceClient.Result> callService(
      Upstream upstream, PlainServiceClient.Call call) {
    serviceCalls.add(upstream.name());
    return CompletableFuture.completedFuture(serviceResult);
  }

  private final class ConfigurationHolder implements ConfigurationView {
    @Override
    public Optional<Configuration> current() {
      return Optional.ofNullable(configuration);
    }

    @Override
    public void addListener(Consumer<Configuration> listener) {
      configurationListener = listener;
    }
  }

  void configure(int engineCount) {
    Map<String, Upstream> upstreams = new HashMap<>();
    for (int i = 1; i <= engineCount; i++) {
      upstreams.put("e" + i, upstream("e" + i, UpstreamKind.ENGINE, "writer"));
      upstreams.put("s" + i, upstream("s" + i, UpstreamKind.SERVICE, "records"));
    }
    configuration =
        new Configuration(
            1,
            new ServingDefaults(10_000, 1, 0, 100),
            Map.of(),
            Map.of("writer", new ModelSettings("writer", 500, 0)),
            upstreams,
            Map.of(
                "records",
                new PlainService(
                    "records",
                    Map.of(
                        "sign", new ServiceMethod("sign", false, 50, 20, 5_000),
                        "list", new ServiceMethod("list", true, 5, 1, 5_000)))),
            Map.of("urgent", new RequestClass("urgent", 10, 2_000, 5)),
            Map.of("acc", new ClientAccount("acc", List.of(), List.of("budget"), accountLimit, 0)));
    configurationListener.accept(configuration);
  }

  private Upstream upstream(String name, UpstreamKind kind, String serves) {
    return new Upstream(name, kind, name, "d1", "s1", List.of(serves), engineLimit, false, false);
  }

  /** Records one answer. */
  static final class Answer implements AnswerListener {
    final List<String> pieces = new ArrayList<>();
    final boolean wantsWhole;
    AnswerEnd end;
    Problem problem;

    Answer(boolean wantsWhole) {
      this.wantsWhole = wantsWhole;
    }

    @Override
    public boolean wantsBufferedAnswer() {
      return wantsWhole;
    }

    @Override
    public void onPiece(String text) {
      pieces.add(text);
    }

    @Override
    public void onComplete(AnswerEnd e) {
      end = e;
    }

    @Override
    public void onProblem(Problem p) {
      problem = p;
    }
  }

  static ModelRequest model(String id, String fingerprint) {
    return new ModelRequest(
        new RequestKey("acc", id),
        "writer",
        "budget",
        "",
        "{}".getBytes(StandardCharsets.UTF_8),
        40,
        100,
        List.of("prefix of " + fingerprint),
        fingerprint,
        0);
  }

  ModelCall submit(String id, Answer answer) {
    return service.submit(model(id, FINGERPRINT), answer);
  }

  ServiceOutcome callMethod(String id, String method) {
    CompletableFuture<ServiceOutcome> f =
        service.submit(
            new ServiceRequest(
                new RequestKey("acc", id),
                "records",
                method,
                "budget",
                "",
                new byte[0],
                FINGERPRINT,
                0));
    scheduler.run(6_000);
    return f.join();
  }

  long countEvents(String kind) {
    return events.stream().filter(e -> e.kind().equals(kind)).count();
  }

  @Override
  public CompletableFuture<ReservationResult> reserve(
      RequestKey key, String budget, long tokens, long waitMillis) {
    String id = "r" + ++reservations;
    return CompletableFuture.completedFuture(
        reservationResult != null
            ? reservationResult
            : new ReservationResult.Granted(new Reservation(id, budget, "holder", tokens)));
  }

  @Override
  public void trim(Reservation reservation, long tokens) {}

  @Override
  public void close(Reservation reservation, long tokens) {
    closedReservations.put(reservation.id(), tokens);
  }

  @Override
  public boolean hasCapacity() {
    return hasBillingSpace;
  }

  @Override
  public boolean tryAcquireSlot() {
    acquiredBills += hasBillingSpace ? 1 : 0;
    return hasBillingSpace;
  }

  @Override
  public void releaseSlot() {
    acquiredBills--;
  }

  @Override
  public void record(Bill bill, Reservation reservation) {
    acquiredBills--;
    bills.add(bill);
  }

  @Override
  public CompletableFuture<Void> recordDurably(Bill bill, Reservation reservation) {
    record(bill, reservation);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<ClaimResult> claim(RequestKey key, String fingerprint, long wait) {
    claimCalls.add("claim");
    return CompletableFuture.completedFuture(claimResult);
  }

  @Override
  public CompletableFuture<Boolean> withdraw(Claim claim) {
    claimCalls.add("withdraw");
    return CompletableFuture.completedFuture(withdrawalCommitted);
  }

  @Override
  public void finish(Claim claim, int status, String contentType, byte[] body) {
    claimCalls.add("finish " + status);
  }

  @Override
  public CompletableFuture<LookUp> lookUp(RequestKey key) {
    return CompletableFuture.completedFuture(
        claimLookUp.orElse(new LookUp.Unavailable("not scripted")));
  }

  @Override
  public MemberInfo self() {
    return new MemberInfo("host.1", "host", "d1", "s1", "host:1", "host:2");
  }

  @Override
  public List<MemberInfo> alive() {
    return List.of(self());
  }

  @Override
  public List<MemberInfo> rank(String failureDomain, String key) {
    return List.of(self());
  }

  @Override
  public Set<String> leavingUpstreams() {
    return leaving;
  }

  @Override
  public void markUpstreamLeaving(String upstream) {}

  @Override
  public void markUpstreamReturned(String upstream) {}
}
