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
import org.hibiscusreel.bench.demo.Fleet;
import org.hibiscusreel.bench.demo.Processes;
import org.hibiscusreel.bench.demo.Topology;

/** Puts the same load straight on the engines and through one daemon, in one run. */
public final class Load {

  private static final String HOST = "cr-a-1";
  private static final long BUDGET_TOKENS = 1_000_000_000_000L;
  private static final int MAX_CONCURRENT = 10_000;
  private static final int WARM_UP_SECONDS = 3;
  private static final int LONG_STREAM_TOKENS = 4096;

  @Parameter(names = "--root", required = true, description = "root of the workspace")
  private String root = "";

  @Parameter(names = "--rate", description = "requests a second")
  private double rate = 50;

  @Parameter(names = "--seconds", description = "time of each of the two phases")
  private double seconds = 10;

  @Parameter(names = "--tokens", description = "token limit of each request")
  private int tokens = 50;

  @Parameter(names = "--seed", description = "seed of times and prompts")
  private long seed = 1;

  @Parameter(names = "--streams", description = "open streams to measure memory with")
  private int streams = 0;

  @Parameter(names = "--idle", description = "idle connections to the daemon")
  private int idle = 0;

  @Parameter(names = "--misbehaving", description = "misbehaving connections to the daemon")
  private int misbehaving = 0;

  private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
  private final Eventloop loop = Eventloop.create();

  private Load() {}

  /**
   * Runs the load and prints the figures.
   *
   * @param args see the parameters
   * @throws Exception if a process can't be started or doesn't become ready
   */
  public static void main(String[] args) throws Exception {
    Load load = new Load();
    JCommander.newBuilder().addObject(load).programName("./bench load").build().parse(args);
    Path directory = Files.createTempDirectory("hibiscusreel-load");
    try (Processes processes = new Processes(directory)) {
      load.run(processes, directory);
    }
    System.exit(0);
  }

  private void run(Processes processes, Path directory) throws Exception {
    Topology t = new Topology(directory, List.of("cr-a"), 1, MAX_CONCURRENT);
    Fleet fleet = new Fleet(root, processes, t);
    fleet.start(
        BUDGET_TOKENS,
        List.of("--capacity", "" + MAX_CONCURRENT, "--prefill-ms", "5", "--load-lag-ms", "50"));
    loop.keepAlive(true);
    Thread thread = new Thread(loop, "load");
    thread.setDaemon(true);
    thread.start();
    List<String> engines = List.copyOf(t.engines.values());
    List<String> daemon = List.of(t.callers.get(HOST));
    phase(engines, "warm-up-straight", WARM_UP_SECONDS);
    phase(daemon, "warm-up-daemon", WARM_UP_SECONDS);
    out.print(phase(engines, "straight", seconds).toText("straight", seconds));
    ProcessHandle handle = processes.get(HOST).toHandle();
    try (BadConnections bad = new BadConnections(daemon.get(0))) {
      bad.openIdle(idle);
      bad.openMisbehaving(misbehaving, seed);
      Duration before = cpu(handle);
      LoadFigures f = phase(daemon, "daemon", seconds);
      double cpuSeconds = cpu(handle).minus(before).toMillis() / 1000.0;
      out.print(f.toText("through the daemon", seconds));
      out.printf(
          "daemon CPU %.3f s, %.6f s per whole request, %.2f us per token%n",
          cpuSeconds, cpuSeconds / f.wholeCount(), cpuSeconds / f.tokenCount() * 1e6);
      out.printf("connections that could not be opened or fed: %d%n", bad.failed());
    }
    out.printf("daemon resident memory %d KiB%n", residentKib(handle.pid()));
    if (streams > 0) {
      measureStreams(daemon, handle.pid());
    }
  }

  private LoadFigures phase(List<String> targets, String name, double time)
      throws InterruptedException, ExecutionException {
    String run = name + "-" + System.currentTimeMillis();
    Supplier<OpenLoop> create = () -> new OpenLoop(loop, targets, run, tokens, seed);
    OpenLoop load = CompletableFuture.supplyAsync(create, loop).get();
    loop.execute(() -> load.run(rate, time));
    return load.done().get();
  }

  /** Opens long streams and compares the resident memory before and while they are open. */
  private void measureStreams(List<String> daemon, long pid)
      throws InterruptedException, IOException {
    long before = residentKib(pid);
    loop.execute(
        () -> {
          OpenLoop l = new OpenLoop(loop, daemon, "long", LONG_STREAM_TOKENS, seed);
          for (int i = 0; i < streams; i++) {
            l.send(System.nanoTime());
          }
        });
    TimeUnit.SECONDS.sleep(5);
    long after = residentKib(pid);
    out.printf(
        "%d open streams: resident memory %d KiB before, %d KiB with them, %.1f KiB per stream%n",
        streams, before, after, (double) (after - before) / streams);
  }

  private static Duration cpu(ProcessHandle handle) {
    return handle.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  private static long residentKib(long pid) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
        .filter(l -> l.startsWith("VmRSS:"))
        .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(0);
  }
}
