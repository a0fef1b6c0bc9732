package org.hibiscusreel.bench.sim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.bench.check.PromiseChecker;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodePorts;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.timeline.TimelineEvent;

/** Runs one trace: daemons as shipped, on fakes of their ports, with one clock and one seed. */
public final class Simulation {

  /** Time that daemons get to find each other before the first arrival, in milliseconds. */
  public static final long WARM_UP_MILLIS = 10_000;

  private static final long SETTLE_MILLIS = 180_000;
  private static final long LINK_DELAY_MILLIS = 1;
  private static final long SAMPLE_MILLIS = 1_000;
  private static final int MAX_BUFFERED_BILLS = 20_000;
  private static final long DRAIN_MILLIS = 30_000;

  private final Trace trace;
  private final NodeFactory factory;
  private final VirtualTime time = new VirtualTime();
  private final Links links = new Links(LINK_DELAY_MILLIS);
  private final Random random;
  private final FakeTable table;
  private final FakePlatform platform;
  private final FakePeers peers;
  private final FakeEngines engines;
  private final FakeServices services;
  private final Map<String, SimulatedDaemon> daemons = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Integer> hostNumbers = new LinkedHashMap<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<TimelineEvent> timeline = new ArrayList<>();
  private final FaultInjector injector;
  private final Map<String, List<Long>> configVersions = new HashMap<>();
  private boolean settled;
  private long configVersion;

  /**
   * Prepares a run.
   *
   * @param trace what happens
   * @param seed seed of all randomness
   * @param factory builds the services of each daemon
   */
  public Simulation(Trace trace, long seed, NodeFactory factory) {
    this.trace = trace;
    this.factory = factory;
    this.random = new Random(seed);
    this.table = new FakeTable(time, links, new Random(random.nextLong()));
    this.platform = new FakePlatform(time, links);
    this.peers = new FakePeers(time, links);
    this.engines = new FakeEngines(time, links, new Random(random.nextLong()));
    this.services = new FakeServices(time, links, new Random(random.nextLong()));
    this.injector = new FaultInjector(this);
    for (String d : trace.topology().failureDomains()) {
      trace.topology().hosts(d).forEach(h -> hostNumbers.put(h, hostNumbers.size()));
    }
  }

  /**
   * Runs the trace with the daemons as shipped.
   *
   * @param trace what happens
   * @param seed seed of all randomness
   * @return the outcome
   */
  public static RunResult run(Trace trace, long seed) {
    return new Simulation(trace, seed, CoordinationNode::new).run();
  }

  /**
   * Runs the whole trace and then waits until everything that can settle has settled.
   *
   * @return the outcome
   */
  public RunResult run() {
    start();
    advanceTo(trace.end());
    settle();
    return result();
  }

  /** Publishes the configuration and the budgets, starts all daemons and schedules the trace. */
  public void start() {
    publish();
    long wall = time.wall();
    for (Topology.Budget b : trace.topology().budgets()) {
      TopUp t = new TopUp("initial", b.granted(), wall);
      BudgetRow r = new BudgetRow(b.account(), b.granted(), 0, b.lean(), List.of(t));
      table.put(TableKeys.budget(b.name()), Json.write(r));
    }
    for (String d : trace.topology().failureDomains()) {
      trace.topology().hosts(d).forEach(this::startDaemon);
    }
    sampleConfigVersions();
    for (Arrival a : trace.arrivals()) {
      time.schedule(
          WARM_UP_MILLIS + a.at(),
          () -> new SimulatedCaller(time, a, this::balance, attempts::add).send());
    }
    for (Fault f : trace.faults()) {
      time.schedule(WARM_UP_MILLIS + f.at(), () -> injector.apply(f));
    }
  }

  private void sampleConfigVersions() {
    for (SimulatedDaemon d : daemons.values()) {
      if (d.scope().isRunning()) {
        d.node()
            .configuration()
            .current()
            .ifPresent(
                c ->
                    configVersions
                        .computeIfAbsent(d.incarnation(), i -> new ArrayList<>())
                        .add(c.version()));
      }
    }
    time.schedule(SAMPLE_MILLIS, this::sampleConfigVersions);
  }

  /**
   * Runs up to a time of the trace.
   *
   * @param traceMillis time of the trace in milliseconds
   */
  public void advanceTo(long traceMillis) {
    time.runUntil(WARM_UP_MILLIS + traceMillis);
  }

  /** Ends all faults, brings all hosts back and waits. */
  public void settle() {
    injector.endAll();
    for (String d : trace.topology().failureDomains()) {
      trace.topology().hosts(d).forEach(this::restoreHost);
    }
    time.runUntil(time.now() + SETTLE_MILLIS);
    settled = true;
  }

  private void restoreHost(String host) {
    SimulatedDaemon d = daemons.get(host);
    if (d == null || !d.scope().isAlive()) {
      startDaemon(host);
    } else {
      d.scope().resume();
    }
  }

  /**
   * Starts a daemon on a host.
   *
   * @param host name of the host
   */
  void startDaemon(String host) {
    int n = runs.merge(host, 1, Integer::sum);
    String incarnation = host + "." + n;
    String domain = domainOf(host);
    ProcessScope scope = new ProcessScope(time);
    CoordinationNode[] node = new CoordinationNode[1];
    MemberInfo self =
        new MemberInfo(
            incarnation, host, domain, trace.topology().site(), peerAddress(host), adminOf(host));
    NodeSettings settings =
        new NodeSettings(self, "boot-" + host, seeds(host), MAX_BUFFERED_BILLS, DRAIN_MILLIS);
    Random own = new Random(random.nextLong());
    NodePorts ports =
        new NodePorts(
            scope,
            table.client(scope, domain),
            platform.objects(scope, domain),
            platform.hosts(scope, domain),
            peers.transport(scope, domain),
            engines.client(scope, domain),
            services.client(scope, domain),
            timeline::add,
            own::nextLong);
    node[0] = factory.create(settings, ports);
    peers.listen(peerAddress(host), scope, domain, () -> node[0].peerHandler());
    platform.list(new HostList.Host(host, domain, peerAddress(host), HostList.State.LIVE));
    daemons.put(
        host, new SimulatedDaemon(host, domain, incarnation, scope, node[0], new boolean[1]));
    scope.deliver(
        () -> {
          var unused = node[0].start();
        });
  }

  private Optional<SimulatedDaemon> balance(Arrival a, Set<String> tried) {
    List<SimulatedDaemon> candidates =
        daemons.values().stream()
            .filter(SimulatedDaemon::takesCallers)
            .sorted(Comparator.comparing(SimulatedDaemon::host))
            .toList();
    List<SimulatedDaemon> fresh =
        candidates.stream().filter(d -> !tried.contains(d.incarnation())).toList();
    List<SimulatedDaemon> near =
        fresh.stream().filter(d -> d.failureDomain().equals(a.domain())).toList();
    List<SimulatedDaemon> from = near.isEmpty() ? (fresh.isEmpty() ? candidates : fresh) : near;
    return from.isEmpty() ? Optional.empty() : Optional.of(from.get(random.nextInt(from.size())));
  }

  /** Publishes the configuration again as the next version. */
  void publish() {
    configVersion++;
    byte[] body =
        Json.write(Map.of("base", trace.topology().toToml(), "overlays", Map.of()))
            .getBytes(StandardCharsets.UTF_8);
    String digest = sha256(body);
    platform.putObject("config/" + digest, body);
    table.put(
        TableKeys.CONFIG_HEAD, Json.write(Map.of("version", configVersion, "digest", digest)));
  }

  private static String sha256(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private String domainOf(String host) {
    return trace.topology().failureDomains().stream()
        .filter(d -> host.startsWith(d + "-host-"))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("host " + host + " does not exist"));
  }

  private String peerAddress(String host) {
    return "127.0.0.1:" + (20_000 + hostNumbers.get(host));
  }

  private String adminOf(String host) {
    return "127.0.0.1:" + (30_000 + hostNumbers.get(host));
  }

  private List<String> seeds(String host) {
    return hostNumbers.keySet().stream()
        .filter(h -> !h.equals(host))
        .map(this::peerAddress)
        .toList();
  }

  /**
   * Returns the outcome so far.
   *
   * @return the outcome
   */
  public RunResult result() {
    Observations seen =
        ObservationReader.read(table, engines, services, attempts, configVersions, settled);
    List<TimelineEvent> ordered =
        timeline.stream().sorted(Comparator.comparing(TimelineEvent::at)).toList();
    return new RunResult(
        seen,
        PromiseChecker.check(seen),
        ordered,
        table.writes(),
        table.reads(),
        peers.messages(),
        time.now(),
        ObservationReader.stranded(seen, daemons.values()));
  }

  /** Returns the virtual clock. */
  public VirtualTime time() {
    return time;
  }

  /** Returns the links. */
  public Links links() {
    return links;
  }

  /** Returns the table. */
  public FakeTable table() {
    return table;
  }

  /** Returns the object store and host list. */
  public FakePlatform platform() {
    return platform;
  }

  /** Returns the engines. */
  public FakeEngines engines() {
    return engines;
  }

  /** Returns the plain services. */
  public FakeServices services() {
    return services;
  }

  /** Returns the present daemon of each host. */
  public Map<String, SimulatedDaemon> daemons() {
    return daemons;
  }

  /** Returns the trace. */
  public Trace trace() {
    return trace;
  }
}
