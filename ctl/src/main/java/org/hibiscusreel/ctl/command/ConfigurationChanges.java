package org.hibiscusreel.ctl.command;

import java.security.SecureRandom;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;
import org.hibiscusreel.coordination.config.ConfigurationDifference;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.config.ConfigurationPublisher;
import org.hibiscusreel.coordination.config.ConfigurationVersion;
import org.hibiscusreel.coordination.config.PublishResult;

/** Publishes changes of the configuration and prints their differences and results. */
final class ConfigurationChanges {

  private final CommandContext context;
  private final PublishedConfigurations published;
  private final SecureRandom random = new SecureRandom();

  ConfigurationChanges(CommandContext context) {
    this.context = context;
    this.published = new PublishedConfigurations(context);
  }

  /**
   * Prints the differences to the current version and publishes a body as its successor. Fails with
   * a conflict if an expected version is given and is not the current one.
   */
  int publish(
      ConfigurationBody body,
      String author,
      String note,
      OptionalLong expected,
      List<String> messages) {
    ConfigurationHead head = published.readHead();
    if (expected.isPresent() && expected.getAsLong() != head.version()) {
      return printConflict(expected.getAsLong(), head);
    }
    List<String> lines =
        head.version() == 0
            ? differenceLines(Map.of(), mergedTrees(body))
            : differenceLines(mergedTrees(published.readBody(head.digest())), mergedTrees(body));
    if (lines.isEmpty()) {
      context.print("version " + head.version() + " has the same content; nothing was published");
      return ExitCodes.OK;
    }
    lines.forEach(context::print);
    messages.forEach(context::print);
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            context.platform().scheduler(),
            context.platform().table(),
            context.platform().objects(),
            random::nextLong);
    PublishResult result =
        context.await(publisher.publish(body, author, note, OptionalLong.of(head.version())));
    return printResult(result, head.version());
  }

  /** Returns the differences between two sets of merged trees, one per line. */
  static List<String> differenceLines(
      Map<String, Map<String, Object>> before, Map<String, Map<String, Object>> after) {
    return ConfigurationDifference.lines(before, after);
  }

  /** Returns the merged configuration trees of a body by site. */
  static Map<String, Map<String, Object>> mergedTrees(ConfigurationBody body) {
    ConfigurationCompiler.Result result = ConfigurationCompiler.compile(body, 1);
    if (result instanceof ConfigurationCompiler.Result.Compiled compiled) {
      return compiled.trees();
    }
    throw new CommandException(
        ExitCodes.FAILURE,
        String.join("\n", ((ConfigurationCompiler.Result.Invalid) result).errors()));
  }

  /** Returns a one-line description of a version. */
  static String describe(ConfigurationVersion version) {
    return "version "
        + version.version()
        + " by "
        + version.author()
        + " at "
        + Instant.ofEpochMilli(version.atMillis())
        + ": "
        + version.note();
  }

  /** Prints the result of publishing and returns the exit code. */
  int printResult(PublishResult result, long base) {
    if (result instanceof PublishResult.Published success) {
      context.print("published version " + success.version() + " digest " + success.digest());
      return ExitCodes.OK;
    }
    if (result instanceof PublishResult.Conflict conflict) {
      return printConflict(base, conflict.head());
    }
    if (result instanceof PublishResult.Invalid invalid) {
      invalid.errors().forEach(context::printMessage);
      return ExitCodes.FAILURE;
    }
    if (result instanceof PublishResult.Unknown unknown) {
      context.printMessage(
          "version "
              + unknown.version()
              + " may have been published ("
              + unknown.reason()
              + "); check with hibiscusreelctl history before publishing again");
      return ExitCodes.PLATFORM_UNREACHABLE;
    }
    context.printMessage("not published: " + ((PublishResult.Unavailable) result).reason());
    return ExitCodes.PLATFORM_UNREACHABLE;
  }

  private int printConflict(long base, ConfigurationHead head) {
    context.printMessage(
        "conflict: the current version is "
            + head.version()
            + ", but the change is based on version "
            + base
            + "; nothing was published");
    for (long number = base + 1; number <= head.version(); number++) {
      published
          .readVersion(number)
          .map(ConfigurationChanges::describe)
          .ifPresent(context::printMessage);
    }
    Map<String, Map<String, Object>> before =
        published.readBodyOfVersion(base).map(ConfigurationChanges::mergedTrees).orElse(Map.of());
    Map<String, Map<String, Object>> current =
        head.version() == 0 ? Map.of() : mergedTrees(published.readBody(head.digest()));
    context.printMessage("changed since version " + base + ":");
    differenceLines(before, current).forEach(line -> context.printMessage("  " + line));
    return ExitCodes.FAILURE;
  }
}
