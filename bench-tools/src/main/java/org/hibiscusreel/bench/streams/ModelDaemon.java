package org.hibiscusreel.bench.streams;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.forward.CallerExchange;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.CrashTransport;
import org.hibiscusreel.coordination.forward.DecisionLog;
import org.hibiscusreel.coordination.forward.FleetFollower;
import org.hibiscusreel.coordination.forward.FleetView;
import org.hibiscusreel.coordination.forward.ForwardSettings;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.HolderCopies;
import org.hibiscusreel.coordination.forward.HolderCopy;
import org.hibiscusreel.coordination.forward.HolderTransport;
import org.hibiscusreel.coordination.forward.LoadExchange;
import org.hibiscusreel.coordination.forward.LoadTransport;
import org.hibiscusreel.coordination.forward.PrepaidBudgets;
import org.hibiscusreel.coordination.forward.RowValue;
import org.hibiscusreel.coordination.forward.StreamOrigins;
import org.hibiscusreel.coordination.forward.StreamTransport;
import org.hibiscusreel.coordination.forward.UpstreamCrashes;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.crash.CrashReport;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamEntry;

/** One run of a daemon, with the shipped classes that decide about streams. */
final class ModelDaemon {

  /** Connection of a caller. */
  interface Connection {

    /** Called when the process of the daemon has ended. */
    void onDaemonEnded();
  }

  private static final double WRITES_PER_SECOND = 800;
  private static final long CONFIGURATION_BOUND_MILLIS = 2_000;

  private final String host;
  private final String address;
  private final ModelProcess process;
  private final DatagramNetwork network;
  private final PlannedFault fault;
  private final FleetFollower fleet;
  private final LoadExchange loads;
  private final UpstreamCrashes crashes;
  private final StreamOrigins origins;
  private final Forwarder forwarder;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private Consumer<LoadReport> loadReceiver = r -> {};
  private Consumer<StreamReport> streamReceiver = r -> {};

  ModelDaemon(
      String host,
      String incarnation,
      String address,
      ModelProcess process,
      ModelStore.Client store,
      DatagramNetwork network,
      ModelUpstreams upstreams,
      SplittableRandom random,
      PlannedFault fault,
      DecisionLog log) {
    this.host = host;
    this.address = address;
    this.process = process;
    this.network = network;
    this.fault = fault;
    this.fleet =
        new FleetFollower(
            store,
            store,
            process,
            host,
            new FleetFollower.HostRow(incarnation, address),
            new FleetFollower.RowFormat(
                ModelStore.CONFIGURATION,
                ModelStore.UPSTREAMS,
                ModelDaemon::parseConfiguration,
                ModelUpstreams::parse),
            log,
            new FleetListener());
    FleetView view = fault.view(fleet, process);
    final PrepaidBudgets budgets =
        new PrepaidBudgets(
            store,
            process,
            store.clock(),
            new PrepaidBudgets.Identity(host, incarnation),
            WRITES_PER_SECOND,
            fleet::daemonCount,
            new HolderCopies(process, new SilentTransport(), address),
            log);
    this.loads =
        new LoadExchange(
            process,
            new LoadReports(),
            new LoadExchange.Identity(incarnation, address),
            fleet::daemonCount,
            this::confirmedVersion,
            this::seenVersions,
            new PeerListener());
    this.crashes = new UpstreamCrashes(process, new SilentTransport(), address, log);
    TableService table = fault.table(store, process);
    this.origins =
        new StreamOrigins(
            table,
            process,
            store.clock(),
            view,
            host,
            WRITES_PER_SECOND,
            view::daemonCount,
            new StreamReports(),
            log);
    this.forwarder =
        new Forwarder(
            process,
            view,
            upstreams.transport(process),
            budgets,
            loads,
            crashes,
            origins,
            new ForwardSettings("d", 1, 1_000, CONFIGURATION_BOUND_MILLIS),
            log,
            random::nextLong);
  }

  void start() {
    loads.start();
    fleet.start();
    origins.start();
  }

  /** Stops after the requests in progress, or after a grace period. */
  void stop(long graceMillis, Runnable whenStopped) {
    forwarder.stopAccepting();
    awaitRequests(process.nowMillis() + graceMillis, whenStopped);
  }

  private void awaitRequests(long endAtMillis, Runnable whenStopped) {
    if (forwarder.inProgress() > 0 && process.nowMillis() < endAtMillis) {
      process.schedule(50, () -> awaitRequests(endAtMillis, whenStopped));
      return;
    }
    forwarder.endAll();
    process.schedule(
        100,
        () -> {
          fleet.stop();
          origins.stop();
          loads.stop();
          process.schedule(100, whenStopped);
        });
  }

  String host() {
    return host;
  }

  String address() {
    return address;
  }

  ModelProcess process() {
    return process;
  }

  Forwarder.Handle serve(CallerRequest request, CallerExchange exchange) {
    return forwarder.serve(fault.request(request), exchange);
  }

  /** Adds a connection of a caller, which breaks when the process is killed. */
  void onOpened(Connection connection) {
    connections.add(connection);
  }

  void onClosed(Connection connection) {
    connections.remove(connection);
  }

  void kill() {
    process.kill();
    List.copyOf(connections).forEach(Connection::onDaemonEnded);
    connections.clear();
  }

  private long confirmedVersion() {
    return fleet.configurationAgeMillis() <= CONFIGURATION_BOUND_MILLIS
        ? fleet.table().map(ForwardingTable::version).orElse(0L)
        : 0;
  }

  private Set<StreamOrigin> seenVersions() {
    return origins.seenVersions();
  }

  private static RowValue<ForwardingTable> parseConfiguration(ChangeFeed.Change change) {
    return RowValue.parse(change.value(), RouteConfiguration::parse);
  }

  private final class FleetListener implements FleetFollower.Listener {

    @Override
    public void onUpstreamListed(UpstreamEntry upstream) {
      if (fault.hearsOfListings() && origins.onListed(upstream)) {
        loads.onVersionListed();
      }
    }

    @Override
    public void onConfiguration(ForwardingTable table) {
      origins.onConfiguration();
    }

    @Override
    public void onUpstreamsRemoved(List<String> ids) {
      loads.onUpstreamsRemoved(ids);
    }

    @Override
    public void onPeers(List<String> addresses) {
      loads.onPeers(addresses);
      crashes.onPeers(addresses);
      origins.onPeers(addresses);
    }
  }

  private final class PeerListener implements LoadExchange.PeerListener {

    @Override
    public void onVersion(long version) {
      origins.onPeerConfiguration(version);
      fleet.onPeerVersion(version);
    }

    @Override
    public void onUpstreamVersions(String sender, List<StreamOrigin> versions) {
      fault.onPeerVersions(process, () -> origins.onPeerVersions(sender, versions));
    }
  }

  private final class LoadReports implements LoadTransport {

    @Override
    public void send(List<String> peers, LoadReport report) {
      if (fault.sendsReports()) {
        peers.forEach(p -> network.send(address, p, d -> d.loadReceiver.accept(report)));
      }
    }

    @Override
    public void receive(Consumer<LoadReport> receiver) {
      loadReceiver = receiver;
    }
  }

  private final class StreamReports implements StreamTransport {

    @Override
    public void sendStreams(List<String> peers, StreamReport report) {
      if (fault.sendsReports()) {
        peers.forEach(p -> network.send(address, p, d -> d.streamReceiver.accept(report)));
      }
    }

    @Override
    public void receiveStreams(Consumer<StreamReport> receiver) {
      streamReceiver = receiver;
    }
  }

  /** Transport of reports that no stream depends on. */
  private static final class SilentTransport implements CrashTransport, HolderTransport {

    @Override
    public void sendCrashes(List<String> peers, CrashReport report) {}

    @Override
    public void receiveCrashes(Consumer<CrashReport> receiver) {}

    @Override
    public void sendHolders(List<String> peers, List<HolderCopy> copies) {}

    @Override
    public void receiveHolders(Consumer<HolderCopy> receiver) {}
  }
}
