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

/** Shows and publishes changes of the configuration. */
final class ConfigurationChanges {

  private final Session session;
  private final PublishedConfigurations published;
  private final SecureRandom random = new SecureRandom();

  ConfigurationChanges(Session session) {
    this.session = session;
    this.published = new PublishedConfigurations(session);
  }

  /**
   * Publishes a body on top of the expected version, or of the version in force now. The difference
   * is shown first.
   */
  int publish(
      ConfigurationBody body,
      String author,
      String note,
      OptionalLong expected,
      List<String> messages) {
    ConfigurationHead head = published.head();
    if (expected.isPresent() && expected.getAsLong() != head.version()) {
      return conflict(expected.getAsLong(), head);
    }
    List<String> lines =
        head.version() == 0
            ? difference(Map.of(), trees(body))
            : difference(trees(published.body(head.digest())), trees(body));
    if (lines.isEmpty()) {
      session.print("version " + head.version() + " has the same content; nothing was published");
      return ExitCodes.OK;
    }
    lines.forEach(session::print);
    messages.forEach(session::print);
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            session.platform().scheduler(),
            session.platform().table(),
            session.platform().objects(),
            random::nextLong);
    PublishResult result =
        session.await(publisher.publish(body, author, note, OptionalLong.of(head.version())));
    return report(result, head.version());
  }

  /** Returns the lines that tell two sets of merged trees apart. */
  static List<String> difference(
      Map<String, Map<String, Object>> before, Map<String, Map<String, Object>> after) {
    return ConfigurationDifference.lines(before, after);
  }

  /** Returns the merged trees of a body by site. */
  static Map<String, Map<String, Object>> trees(ConfigurationBody body) {
    ConfigurationCompiler.Result result = ConfigurationCompiler.compile(body, 1);
    if (result instanceof ConfigurationCompiler.Result.Compiled compiled) {
      return compiled.trees();
    }
    throw new CommandFailure(
        ExitCodes.NEGATIVE,
        String.join("\n", ((ConfigurationCompiler.Result.Invalid) result).errors()));
  }

  /** Returns one line about a version. */
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

  /** Prints an outcome and returns the exit code. */
  int report(PublishResult result, long base) {
    if (result instanceof PublishResult.Published done) {
      session.print("published version " + done.version() + " digest " + done.digest());
      return ExitCodes.OK;
    }
    if (result instanceof PublishResult.Conflict conflict) {
      return conflict(base, conflict.head());
    }
    if (result instanceof PublishResult.Invalid invalid) {
      invalid.errors().forEach(session::warn);
      return ExitCodes.NEGATIVE;
    }
    if (result instanceof PublishResult.Unknown unknown) {
      session.warn(
          "it is not known whether version "
              + unknown.version()
              + " was published ("
              + unknown.reason()
              + "); see hibiscusreelctl history before trying again");
      return ExitCodes.UNREACHABLE;
    }
    session.warn("not published: " + ((PublishResult.Unavailable) result).reason());
    return ExitCodes.UNREACHABLE;
  }

  private int conflict(long base, ConfigurationHead head) {
    session.warn(
        "conflict: version "
            + head.version()
            + " is in force, but the change was made from version "
            + base
            + "; nothing was published");
    for (long v = base + 1; v <= head.version(); v++) {
      published.version(v).map(ConfigurationChanges::describe).ifPresent(session::warn);
    }
    Map<String, Map<String, Object>> before =
        published.bodyOf(base).map(ConfigurationChanges::trees).orElse(Map.of());
    Map<String, Map<String, Object>> now =
        head.version() == 0 ? Map.of() : trees(published.body(head.digest()));
    session.warn("changed since version " + base + ":");
    difference(before, now).forEach(line -> session.warn("  " + line));
    return ExitCodes.NEGATIVE;
  }
}
