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
import org.hibiscusreel.bench.check.InvariantChecker;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.budget.TopUp;
import org.hibiscusreel.core.timeline.TimelineEvent;

/** Runs a trace on daemons with fakes of their ports, a single virtual clock and a single seed. */
public final class Simulation {

  /** Time for daemons to discover each other before the trace starts, in milliseconds. */
  public static final long WARM_UP_MILLIS = 10_000;

  /** Time after the last fault until all bills are expected to be stored. */
  private static final long SETTLE_DURATION_MILLIS = 180_000;

  private static final long LINK_DELAY_MILLIS = 1;
  private static final long CONFIG_SAMPLE_INTERVAL_MILLIS = 1_000;
  private static final int MAX_BUFFERED_BILLS = 20_000;
  private static final long DRAIN_TIMEOUT_MILLIS = 30_000;

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
  private final Map<String, Integer> daemonStartsByHost = new HashMap<>();
  private final Map<String, Integer> hostNumbers = new LinkedHashMap<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<TimelineEvent> timeline = new ArrayList<>();
  private final FaultInjector injector;
  private final Map<String, List<Long>> configVersions = new HashMap<>();
  private boolean settled;
  private long configVersion;

  /**
   * Creates a simulation without starting it.
   *
   * @param trace requests and faults
   * @param seed seed of all random number generators
   * @param factory creates the services of each daemon
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
   * Runs a trace on unmodified daemons.
   *
   * @param trace requests and faults
   * @param seed seed of all random number generators
   * @return the result
   */
  public static RunResult run(Trace trace, long seed) {
    return new Simulation(trace, seed, CoordinationNode::new).run();
  }

  /**
   * Runs the whole trace, ends all faults and waits for the daemons to settle.
   *
   * @return the result
   */
  public RunResult run() {
    start();
    advanceTo(trace.end());
    settle();
    return result();
  }

  /** Publishes configuration and budgets, starts all daemons and schedules the trace. */
  public void start() {
    publish();
    long wall = time.wallMillis();
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
          () -> new SimulatedCaller(time, a, this::chooseDaemon, attempts::add).send());
    }
    for (Fault f : trace.faults()) {
      time.schedule(WARM_UP_MILLIS + f.at(), () -> injector.apply(f));
    }
  }

  private void sampleConfigVersions() {
    for (SimulatedDaemon d : daemons.values()) {
      if (d.process().isRunning()) {
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
    time.schedule(CONFIG_SAMPLE_INTERVAL_MILLIS, this::sampleConfigVersions);
  }

  /**
   * Advances the simulation to a time of the trace.
   *
   * @param traceMillis milliseconds since the start of the trace
   */
  public void advanceTo(long traceMillis) {
    time.runUntil(WARM_UP_MILLIS + traceMillis);
  }

  /** Ends all faults, resumes or restarts all daemons and waits for pending work to finish. */
  public void settle() {
    injector.endAll();
    for (String d : trace.topology().failureDomains()) {
      trace.topology().hosts(d).forEach(this::restoreHost);
    }
    time.runUntil(time.nowMillis() + SETTLE_DURATION_MILLIS);
    settled = true;
  }

  private void restoreHost(String host) {
    SimulatedDaemon d = daemons.get(host);
    if (d == null || !d.process().isAlive()) {
      startDaemon(host);
    } else {
      d.process().resume();
    }
  }

  /**
   * Starts a daemon on a host.
   *
   * @param host name of the host
   */
  void startDaemon(String host) {
    int n = daemonStartsByHost.merge(host, 1, Integer::sum);
    String incarnation = host + "." + n;
    String domain = domainOf(host);
    SimulatedProcess process = new SimulatedProcess(time);
    CoordinationNode[] node = new CoordinationNode[1];
    MemberInfo self =
        new MemberInfo(
            incarnation,
            host,
            domain,
            trace.topology().site(),
            peerAddress(host),
            adminAddress(host));
    NodeSettings settings =
        new NodeSettings(
            self, "boot-" + host, seedAddresses(host), MAX_BUFFERED_BILLS, DRAIN_TIMEOUT_MILLIS);
    Random nodeRandom = new Random(random.nextLong());
    NodeDependencies ports =
        new NodeDependencies(
            process,
            table.client(process, domain),
            platform.objects(process, domain),
            platform.hosts(process, domain),
            peers.transport(process, domain),
            engines.client(process, domain),
            services.client(process, domain),
            timeline::add,
            nodeRandom::nextLong);
    node[0] = factory.create(settings, ports);
    peers.listen(peerAddress(host), process, domain, () -> node[0].peerHandler());
    platform.addHost(new HostList.Host(host, domain, peerAddress(host), HostList.State.LIVE));
    daemons.put(
        host, new SimulatedDaemon(host, domain, incarnation, process, node[0], new boolean[1]));
    process.deliver(
        () -> {
          var unused = node[0].start();
        });
  }

  private Optional<SimulatedDaemon> chooseDaemon(Arrival a, Set<String> tried) {
    List<SimulatedDaemon> candidates =
        daemons.values().stream()
            .filter(SimulatedDaemon::isInRotation)
            .sorted(Comparator.comparing(SimulatedDaemon::host))
            .toList();
    List<SimulatedDaemon> untried =
        candidates.stream().filter(d -> !tried.contains(d.incarnation())).toList();
    List<SimulatedDaemon> sameDomain =
        untried.stream().filter(d -> d.failureDomain().equals(a.domain())).toList();
    List<SimulatedDaemon> from =
        sameDomain.isEmpty() ? (untried.isEmpty() ? candidates : untried) : sameDomain;
    return from.isEmpty() ? Optional.empty() : Optional.of(from.get(random.nextInt(from.size())));
  }

  /** Publishes the configuration of the topology as the next version. */
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

  private String adminAddress(String host) {
    return "127.0.0.1:" + (30_000 + hostNumbers.get(host));
  }

  private List<String> seedAddresses(String host) {
    return hostNumbers.keySet().stream()
        .filter(h -> !h.equals(host))
        .map(this::peerAddress)
        .toList();
  }

  /**
   * Returns the result so far.
   *
   * @return the result
   */
  public RunResult result() {
    Observations observations =
        ObservationReader.read(table, engines, services, attempts, configVersions, settled);
    List<TimelineEvent> ordered =
        timeline.stream().sorted(Comparator.comparing(TimelineEvent::at)).toList();
    return new RunResult(
        observations,
        InvariantChecker.check(observations),
        ordered,
        table.writes(),
        table.reads(),
        peers.callCount(),
        time.nowMillis(),
        ObservationReader.strandedTokens(observations, daemons.values()));
  }

  /** Returns the virtual clock. */
  public VirtualTime time() {
    return time;
  }

  /** Returns the network links. */
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

  /** Returns the latest daemon of each host, by host name. */
  public Map<String, SimulatedDaemon> daemons() {
    return daemons;
  }

  /** Returns the trace. */
  public Trace trace() {
    return trace;
  }
}
