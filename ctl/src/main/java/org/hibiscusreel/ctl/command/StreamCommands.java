package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hibiscusreel.ctl.streams.LogFile;
import org.hibiscusreel.ctl.streams.StreamAudit;
import org.hibiscusreel.ctl.streams.TakeUpCounts;
import org.hibiscusreel.ctl.streams.TakenUpStream;
import org.hibiscusreel.ctl.streams.TakenUpStream.Comparison;

/** Commands of the group {@code streams}. */
public final class StreamCommands {

  private StreamCommands() {}

  /** Compares the origins of streams in logs of daemons, without contacting the platform. */
  @Parameters(
      commandDescription = "List streams in logs of daemons that hold events of two versions")
  public static final class Compare extends Command {

    @Parameter(description = "FILE...", required = true)
    private List<String> files = new ArrayList<>();

    @Parameter(names = "--request", description = "Only the stream of this request identifier")
    private String request;

    @Override
    public int run(CommandContext context) {
      StreamAudit audit = new StreamAudit();
      LogFile.Counts lines;
      try {
        lines = read(audit::collect);
        if (lines.read() > 0) {
          read(audit::collectFirst);
        }
      } catch (StreamAudit.TooManyException e) {
        throw CommandException.usageError(e.getMessage());
      }
      context.printMessage(
          lines.read() + " lines read, " + lines.passedOver() + " lines of another format");
      if (lines.read() == 0) {
        throw CommandException.usageError("the files hold no line of a daemon");
      }
      Collection<TakenUpStream> streams = audit.compare().values();
      if (request == null) {
        printSummary(context, audit.counts(), streams);
      } else {
        streams = streams.stream().filter(s -> s.contains(request)).toList();
        printHistory(context, streams);
      }
      streams.forEach(s -> s.uncertain().forEach(context::print));
      List<String> differences = streams.stream().flatMap(s -> s.differences().stream()).toList();
      differences.forEach(context::print);
      context.printMessage("differences: " + differences.size());
      return differences.isEmpty() ? ExitCodes.OK : ExitCodes.FAILURE;
    }

    private LogFile.Counts read(Predicate<String> receiver) {
      LogFile.Counts counts = new LogFile.Counts(0, 0);
      for (String f : files) {
        try {
          counts = counts.plus(LogFile.read(Path.of(f), receiver));
        } catch (IOException e) {
          throw CommandException.usageError("the file " + f + " can't be read: " + e.getMessage());
        }
      }
      return counts;
    }

    private void printHistory(CommandContext context, Collection<TakenUpStream> streams) {
      if (streams.isEmpty()) {
        throw CommandException.usageError("no stream of request " + request + " was taken up");
      }
      streams.forEach(s -> s.history().forEach(context::print));
    }

    private static void printSummary(
        CommandContext context, TakeUpCounts counts, Collection<TakenUpStream> streams) {
      context.print("take-ups: " + counts.takeUps() + ", complete: " + counts.complete());
      print(context, "refused", counts.refused());
      print(context, "ended", counts.ended());
      print(context, "source", counts.sources());
      List<Comparison> all = streams.stream().flatMap(s -> s.comparisons().stream()).toList();
      context.print(
          "take-ups with events: compared with the first request: "
              + Collections.frequency(all, Comparison.WITH_FIRST_REQUEST)
              + ", first request not in the logs: "
              + Collections.frequency(all, Comparison.WITHOUT_FIRST_REQUEST)
              + ", version not in the logs: "
              + Collections.frequency(all, Comparison.UNKNOWN)
              + ", first request not named: "
              + counts.unnamed());
    }

    private static void print(CommandContext context, String name, Map<String, Long> counts) {
      counts.forEach((key, count) -> context.print(name + " " + count + ": " + key));
    }
  }
}
