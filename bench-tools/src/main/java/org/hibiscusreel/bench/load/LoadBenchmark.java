package org.hibiscusreel.bench.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hibiscusreel.bench.demo.ChildProcesses;
import org.hibiscusreel.bench.demo.Fleet;
import org.hibiscusreel.bench.demo.ProcessTopology;

/** Measures the same load sent directly to the engines and through one daemon. */
public final class LoadBenchmark {

  private static final String HOST = "cr-a-1";
  private static final long BUDGET_TOKENS = 1_000_000_000_000L;
  private static final int MAX_CONCURRENT_REQUESTS = 10_000;
  private static final int WARM_UP_SECONDS = 3;
  private static final int LONG_STREAM_TOKENS = 4096;

  @Parameter(names = "--root", required = true, description = "root directory of the project")
  private String root = "";

  @Parameter(names = "--rate", description = "requests per second")
  private double rate = 50;

  @Parameter(names = "--seconds", description = "duration of each of the two phases in seconds")
  private double seconds = 10;

  @Parameter(names = "--tokens", description = "token limit of each request")
  private int tokens = 50;

  @Parameter(names = "--seed", description = "seed of the request times")
  private long seed = 1;

  @Parameter(names = "--streams", description = "number of open streams for the memory measurement")
  private int streams = 0;

  @Parameter(names = "--idle", description = "number of idle connections to the daemon")
  private int idle = 0;

  @Parameter(
      names = "--misbehaving",
      description = "number of misbehaving connections to the daemon")
  private int misbehaving = 0;

  private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
  private final Eventloop loop = Eventloop.create();

  private LoadBenchmark() {}

  /**
   * Runs the benchmark and prints the results.
   *
   * @param args command line
   * @throws Exception if a process can't be started or doesn't become ready
   */
  public static void main(String[] args) throws Exception {
    LoadBenchmark benchmark = new LoadBenchmark();
    JCommander.newBuilder().addObject(benchmark).programName("./bench load").build().parse(args);
    Path directory = Files.createTempDirectory("hibiscusreel-load");
    try (ChildProcesses processes = new ChildProcesses(directory)) {
      benchmark.run(processes, directory);
    }
    System.exit(0);
  }

  private void run(ChildProcesses processes, Path directory) throws Exception {
    ProcessTopology topology =
        new ProcessTopology(directory, List.of("cr-a"), 1, MAX_CONCURRENT_REQUESTS);
    Fleet fleet = new Fleet(root, processes, topology);
    fleet.start(
        BUDGET_TOKENS,
        List.of(
            "--capacity",
            "" + MAX_CONCURRENT_REQUESTS,
            "--prefill-ms",
            "5",
            "--load-lag-ms",
            "50"));
    loop.keepAlive(true);
    Thread thread = new Thread(loop, "load");
    thread.setDaemon(true);
    thread.start();
    List<String> engines = List.copyOf(topology.engineAddresses.values());
    List<String> daemon = List.of(topology.callerAddresses.get(HOST));
    runPhase(engines, "warm-up-straight", WARM_UP_SECONDS);
    runPhase(daemon, "warm-up-daemon", WARM_UP_SECONDS);
    out.print(runPhase(engines, "straight", seconds).toText("direct", seconds));
    ProcessHandle handle = processes.get(HOST).toHandle();
    try (FaultyConnections connections = new FaultyConnections(daemon.get(0))) {
      connections.openIdle(idle);
      connections.openMisbehaving(misbehaving, seed);
      Duration before = cpuTime(handle);
      LoadStatistics statistics = runPhase(daemon, "daemon", seconds);
      double cpuSeconds = cpuTime(handle).minus(before).toMillis() / 1000.0;
      out.print(statistics.toText("through the daemon", seconds));
      out.printf(
          "daemon CPU %.3f s, %.6f s per complete response, %.2f us per token%n",
          cpuSeconds,
          cpuSeconds / statistics.completeResponseCount(),
          cpuSeconds / statistics.tokenCount() * 1e6);
      out.printf("connections that failed to open or to send: %d%n", connections.failed());
    }
    out.printf("daemon resident memory %d KiB%n", residentKib(handle.pid()));
    if (streams > 0) {
      measureStreams(daemon, handle.pid());
    }
  }

  private LoadStatistics runPhase(List<String> targets, String name, double durationSeconds)
      throws InterruptedException, ExecutionException {
    String run = name + "-" + System.currentTimeMillis();
    Supplier<OpenLoopLoad> create = () -> new OpenLoopLoad(loop, targets, run, tokens, seed);
    OpenLoopLoad load = CompletableFuture.supplyAsync(create, loop).get();
    loop.execute(() -> load.run(rate, durationSeconds));
    return load.done().get();
  }

  /** Opens long streams and prints the resident memory before and while they are open. */
  private void measureStreams(List<String> daemon, long pid)
      throws InterruptedException, IOException {
    long before = residentKib(pid);
    loop.execute(
        () -> {
          OpenLoopLoad load = new OpenLoopLoad(loop, daemon, "long", LONG_STREAM_TOKENS, seed);
          for (int i = 0; i < streams; i++) {
            load.send(System.nanoTime());
          }
        });
    TimeUnit.SECONDS.sleep(5);
    long after = residentKib(pid);
    out.printf(
        "%d open streams: resident memory %d KiB before, %d KiB with them, %.1f KiB per stream%n",
        streams, before, after, (double) (after - before) / streams);
  }

  private static Duration cpuTime(ProcessHandle handle) {
    return handle.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  private static long residentKib(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(0);
  }
}
