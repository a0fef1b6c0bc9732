package org.hibiscusreel.bench.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the stand-ins and the daemons of a topology and publishes its configuration. */
public final class Fleet {

  private static final int READY_SECONDS = 20;

  private final String root;
  private final Processes processes;
  private final Topology topology;
  private final Evidence evidence;

  /**
   * Creates a fleet that is not started.
   *
   * @param root root of the built workspace
   * @param processes receives the processes
   * @param topology names and addresses
   */
  public Fleet(String root, Processes processes, Topology topology) {
    this.root = root;
    this.processes = processes;
    this.topology = topology;
    this.evidence = new Evidence(topology);
  }

  /**
   * Starts everything and waits until it is ready.
   *
   * @param budgetTokens tokens granted to each budget
   * @param flags further flags of the stand-ins
   * @throws IOException if a process can't be started
   * @throws InterruptedException if interrupted
   */
  public void start(long budgetTokens, List<String> flags)
      throws IOException, InterruptedException {
    standIn("platform", "table,objects,hosts", topology.platform, flags);
    for (Map.Entry<String, String> e : topology.engines.entrySet()) {
      standIn(e.getKey(), "engine", e.getValue(), flags);
    }
    for (Map.Entry<String, String> e : topology.services.entrySet()) {
      standIn(e.getKey(), "service", e.getValue(), flags);
    }
    List<String> addresses = new ArrayList<>(List.of(topology.platform));
    addresses.addAll(topology.engines.values());
    addresses.addAll(topology.services.values());
    for (String a : addresses) {
      awaitReady(a, "/faults");
    }
    for (String host : topology.callers.keySet()) {
      startDaemon(host);
    }
    publish(budgetTokens);
    for (String host : topology.callers.keySet()) {
      awaitDaemon(host);
    }
  }

  /** Starts the daemon of a host. */
  void startDaemon(String host) throws IOException {
    String settings = topology.writeSettings(host).toString();
    processes.start(host, List.of(root + "/bin/hibiscusreel", "--settings", settings));
  }

  /** Waits until the daemon of a host serves. */
  void awaitDaemon(String host) throws InterruptedException {
    awaitReady(topology.admins.get(host), "/readyz");
  }

  /** Runs the operator program: the words of the command, then its options. */
  String ctl(String command, String... options) throws IOException, InterruptedException {
    List<String> line = new ArrayList<>(List.of(root + "/bin/hibiscusreelctl"));
    line.addAll(List.of(command.split(" ", -1)));
    line.addAll(List.of("--platform", "http://" + topology.platform));
    line.addAll(List.of(options));
    // The report exits with 1 when a guarantee is violated or not yet known; it is printed anyway.
    return processes.run(line, command.equals("report") ? 1 : 0);
  }

  private void publish(long budgetTokens) throws IOException, InterruptedException {
    String base = topology.writeBase().toString();
    String overlay = Topology.SITE + "=" + topology.writeOverlay();
    ctl(
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
    for (String a : Topology.ACCOUNTS) {
      String budget = Topology.budget(a);
      ctl("budgets create", "--account", a, "--tokens", tokens, "--id", "first-" + a, budget);
    }
  }

  private void standIn(String name, String role, String address, List<String> flags)
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
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (evidence.status(address, path) != 200) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException(address + path + " is not ready");
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }
}
