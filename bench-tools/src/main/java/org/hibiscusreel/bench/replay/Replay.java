package org.hibiscusreel.bench.replay;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.hibiscusreel.bench.compare.DeploymentTraces;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Simulation;
import org.hibiscusreel.bench.sim.Trace;

/** Replays recorded traces and compares the outcomes with the expected ones in the file. */
public final class Replay {

  @Parameter(description = "FILE...")
  private List<Path> files = new ArrayList<>();

  @Parameter(names = "--record", description = "Writes this trace of bench compare to the file")
  private String traceToRecord = "";

  @Parameter(names = "--seed", description = "Seed of a trace to record")
  private long seed = 1;

  @Parameter(names = "--help", help = true)
  private boolean help;

  private Replay() {}

  /**
   * Runs the command. The exit code is 1 if a difference is not accepted.
   *
   * @param args command line
   * @throws IOException if a file cannot be read or written
   */
  public static void main(String[] args) throws IOException {
    Replay r = new Replay();
    JCommander c = JCommander.newBuilder().addObject(r).programName("bench replay").build();
    c.parse(args);
    if (r.help || r.files.isEmpty()) {
      c.usage();
      System.exit(r.help ? 0 : 2);
    }
    System.exit(r.run(System.out) ? 0 : 1);
  }

  private boolean run(PrintStream out) throws IOException {
    if (!traceToRecord.isEmpty()) {
      recordTrace(files.get(0));
    }
    boolean meetsExpectations = true;
    for (Path file : files) {
      List<String> differences = replay(RecordedTrace.read(file));
      out.println(file + ": " + (differences.isEmpty() ? "as stated" : "DIFFERS"));
      differences.forEach(d -> out.println("  " + d));
      meetsExpectations &= differences.isEmpty();
    }
    return meetsExpectations;
  }

  private void recordTrace(Path file) throws IOException {
    LongFunction<Trace> create = DeploymentTraces.recordable().get(traceToRecord);
    if (create == null) {
      throw new IllegalArgumentException("no trace " + traceToRecord);
    }
    Trace trace = create.apply(seed);
    RunResult result = Simulation.run(trace, seed);
    new RecordedTrace(seed, trace, RecordedTrace.Expected.of(result)).write(file);
  }

  /**
   * Replays a trace.
   *
   * @param recorded the recorded trace
   * @return the differences that are not accepted, empty if there are none
   */
  static List<String> replay(RecordedTrace recorded) {
    RunResult result = Simulation.run(recorded.trace(), recorded.seed());
    return recorded.expected().differences(RecordedTrace.Expected.of(result));
  }
}
