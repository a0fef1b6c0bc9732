package org.hibiscusreel.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import java.util.Locale;
import org.hibiscusreel.ctl.command.Command;

/** Renders help texts: the options of a command, or the commands of a group. */
final class HelpText {

  private HelpText() {}

  /** Returns the help text of a command or group. */
  static String render(JCommander commander) {
    StringBuilder text = new StringBuilder();
    if (commander.getObjects().get(0) instanceof Command command) {
      text.append(description(command)).append('\n');
      commander.getUsageFormatter().usage(text);
      return text.toString();
    }
    String programName = commander.getProgramName();
    String group = programName.equals(HibiscusreelCtl.PROGRAM) ? "" : " " + programName;
    text.append("Usage: " + HibiscusreelCtl.PROGRAM + group + " COMMAND [options]\n");
    commander.getCommands().forEach((name, child) -> appendCommand(text, name, child));
    text.append("COMMAND --help prints the options of a command.\n");
    return text.toString();
  }

  private static void appendCommand(StringBuilder text, String name, JCommander child) {
    Object object = child.getObjects().get(0);
    if (object instanceof Command command) {
      text.append(String.format(Locale.ROOT, "  %-24s %s%n", name, description(command)));
      return;
    }
    child
        .getCommands()
        .forEach((subcommand, leaf) -> appendCommand(text, name + " " + subcommand, leaf));
  }

  private static String description(Command command) {
    Parameters parameters = command.getClass().getAnnotation(Parameters.class);
    return parameters == null ? "" : parameters.commandDescription();
  }
}
