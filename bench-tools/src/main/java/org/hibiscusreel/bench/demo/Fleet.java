package org.hibiscusreel.bench.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the stand-ins and the daemons of a topology and publishes its configuration. */
public final class Fleet {

  private static final int READY_TIMEOUT_SECONDS = 20;

  private final String root;
  private final ChildProcesses processes;
  private final ProcessTopology topology;
  private final String javaOptions;
  private final ObservationCollector collector;

  /**
   * Creates a fleet without starting it.
   *
   * @param root root of the built workspace
   * @param processes set to which the started processes are added
   * @param topology names and addresses
   */
  public Fleet(String root, ChildProcesses processes, ProcessTopology topology) {
    this(root, processes, topology, "");
  }

  /**
   * Creates a fleet whose daemons run with further options.
   *
   * @param root root of the built workspace
   * @param processes set to which the started processes are added
   * @param topology names and addresses
   * @param javaOptions options of the daemons' virtual machines, which go before those of the start
   *     script
   */
  Fleet(String root, ChildProcesses processes, ProcessTopology topology, String javaOptions) {
    this.root = root;
    this.processes = processes;
    this.topology = topology;
    this.javaOptions = javaOptions;
    this.collector = new ObservationCollector(topology);
  }

  /**
   * Starts all stand-ins and daemons, publishes the configuration and waits until all are ready.
   *
   * @param budgetTokens tokens granted to each budget
   * @param flags additional command-line options of the stand-ins
   * @throws IOException if a process can't be started
   * @throws InterruptedException if interrupted
   */
  public void start(long budgetTokens, List<String> flags)
      throws IOException, InterruptedException {
    startStandIn("platform", "table,objects,hosts", topology.platformAddress, flags);
    for (Map.Entry<String, String> e : topology.engineAddresses.entrySet()) {
      startStandIn(e.getKey(), "engine", e.getValue(), flags);
    }
    for (Map.Entry<String, String> e : topology.serviceAddresses.entrySet()) {
      startStandIn(e.getKey(), "service", e.getValue(), flags);
    }
    List<String> addresses = new ArrayList<>(List.of(topology.platformAddress));
    addresses.addAll(topology.engineAddresses.values());
    addresses.addAll(topology.serviceAddresses.values());
    for (String a : addresses) {
      awaitReady(a, "/faults");
    }
    for (String host : topology.callerAddresses.keySet()) {
      startDaemon(host);
    }
    publish(budgetTokens);
    for (String host : topology.callerAddresses.keySet()) {
      awaitDaemon(host);
    }
  }

  /** Starts the daemon of a host. */
  void startDaemon(String host) throws IOException {
    String settings = topology.writeSettings(host).toString();
    processes.start(
        host,
        List.of(root + "/bin/hibiscusreel", "--settings", settings),
        javaOptions.isEmpty() ? Map.of() : Map.of("HIBISCUSREEL_JAVA_OPTIONS", javaOptions));
  }

  /** Waits until the daemon of a host is ready to serve. */
  void awaitDaemon(String host) throws InterruptedException {
    awaitReady(topology.adminAddresses.get(host), "/readyz");
  }

  /**
   * Runs {@code hibiscusreelctl} with a command of space-separated words and options; returns its
   * output.
   */
  String runCtl(String command, String... options) throws IOException, InterruptedException {
    List<String> line = new ArrayList<>(List.of(root + "/bin/hibiscusreelctl"));
    line.addAll(List.of(command.split(" ", -1)));
    line.addAll(List.of("--platform", "http://" + topology.platformAddress));
    line.addAll(List.of(options));
    // The report prints its output but exits with 1 if a guarantee is violated or not yet known.
    return processes.run(line, command.equals("report") ? 1 : 0);
  }

  private void publish(long budgetTokens) throws IOException, InterruptedException {
    String base = topology.writeBase().toString();
    String overlay = ProcessTopology.SITE + "=" + topology.writeOverlay();
    runCtl(
        "publish",
        "--base",
        base,
        "--overlay",
        overlay,
        "--author",
        "bench",
        "--note",
        "first version");
    String tokens = Long.toString(budgetTokens);
    for (String a : ProcessTopology.ACCOUNTS) {
      String budget = ProcessTopology.budgetName(a);
      runCtl("budgets create", "--account", a, "--tokens", tokens, "--id", "first-" + a, budget);
    }
  }

  private void startStandIn(String name, String role, String address, List<String> flags)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(ProcessHandle.current().info().command().orElse("java"));
    command.addAll(List.of("-Xmx256m", "-XX:+UseSerialGC"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add("org.hibiscusreel.bench.standin.StandIn");
    command.addAll(List.of("--role", role, "--listen", address));
    command.addAll(flags);
    processes.start(name, command);
  }

  private void awaitReady(String address, String path) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (collector.getStatus(address, path) != 200) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(address + path + " did not become ready in time");
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }
}
