package org.hibiscusreel.bench.slopes;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Prints the slope and intercept of each quantity that {@code docs/CAPACITY.md} extrapolates. */
public final class Slopes {

  @Parameter(names = "--seed", description = "seed of the simulations")
  private long seed = 1;

  @Parameter(names = "--only", description = "fleet, requests, memory or cpu; all if absent")
  private List<String> selectedGroups = new ArrayList<>();

  private Slopes() {}

  /**
   * Runs the measurements.
   *
   * @param args {@code --seed}, {@code --only}
   */
  public static void main(String[] args) {
    Slopes s = new Slopes();
    JCommander.newBuilder().addObject(s).programName("./bench slopes").build().parse(args);
    s.run(new PrintStream(System.out, true, StandardCharsets.UTF_8));
  }

  private void run(PrintStream out) {
    out.printf("seed %d%n%n%s", seed, Slope.TABLE_HEADER);
    if (isSelected("memory")) {
      new MemorySlopes().measure(slope -> out.print(slope.toRow()));
    }
    if (isSelected("cpu")) {
      new CpuSlopes().measure(slope -> out.print(slope.toRow()));
    }
    if (isSelected("requests")) {
      print(out, new RequestSlopes().measure(seed));
    }
    if (isSelected("fleet")) {
      print(out, new FleetSlopes().measure(seed));
    }
  }

  private boolean isSelected(String group) {
    return selectedGroups.isEmpty() || selectedGroups.contains(group);
  }

  private static void print(PrintStream out, List<Slope> slopes) {
    slopes.forEach(s -> out.print(s.toRow()));
  }
}
