package org.hibiscusreel.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameters;
import java.util.Locale;
import org.hibiscusreel.ctl.command.Command;

/** Renders help: all options of one command, or the list of the commands of a group. */
final class Usage {

  private Usage() {}

  /** Returns the help text of a command or group. */
  static String of(JCommander commander) {
    StringBuilder text = new StringBuilder();
    if (commander.getObjects().get(0) instanceof Command command) {
      text.append(description(command)).append('\n');
      commander.getUsageFormatter().usage(text);
      return text.toString();
    }
    String own = commander.getProgramName();
    String group = own.equals(HibiscusreelCtl.PROGRAM) ? "" : " " + own;
    text.append("Usage: " + HibiscusreelCtl.PROGRAM + group + " COMMAND [options]\n");
    commander.getCommands().forEach((name, inner) -> append(text, name, inner));
    text.append("COMMAND --help prints the options of a command.\n");
    return text.toString();
  }

  private static void append(StringBuilder text, String name, JCommander inner) {
    Object object = inner.getObjects().get(0);
    if (object instanceof Command command) {
      text.append(String.format(Locale.ROOT, "  %-24s %s%n", name, description(command)));
      return;
    }
    inner.getCommands().forEach((child, leaf) -> append(text, name + " " + child, leaf));
  }

  private static String description(Command command) {
    Parameters parameters = command.getClass().getAnnotation(Parameters.class);
    return parameters == null ? "" : parameters.commandDescription();
  }
}
