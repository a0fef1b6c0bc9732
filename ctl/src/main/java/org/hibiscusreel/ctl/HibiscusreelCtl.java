package org.hibiscusreel.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Objects;
import java.util.function.Function;
import org.hibiscusreel.ctl.command.AccountCommands;
import org.hibiscusreel.ctl.command.BudgetCommands;
import org.hibiscusreel.ctl.command.CheckCommand;
import org.hibiscusreel.ctl.command.Command;
import org.hibiscusreel.ctl.command.CommandContext;
import org.hibiscusreel.ctl.command.CommandException;
import org.hibiscusreel.ctl.command.DiffCommand;
import org.hibiscusreel.ctl.command.ExitCodes;
import org.hibiscusreel.ctl.command.HistoryCommand;
import org.hibiscusreel.ctl.command.HostCommands;
import org.hibiscusreel.ctl.command.PublishCommand;
import org.hibiscusreel.ctl.command.ReportCommand;
import org.hibiscusreel.ctl.command.RequestCommands;
import org.hibiscusreel.ctl.command.ShowCommand;
import org.hibiscusreel.ctl.command.StreamCommands;
import org.hibiscusreel.ctl.command.TimelineCommand;
import org.hibiscusreel.ctl.command.UpstreamCommands;
import org.hibiscusreel.ctl.platform.PlatformClient;

/** Entry point of the command-line tool for operators. */
public final class HibiscusreelCtl {

  static final String PROGRAM = "hibiscusreelctl";
  private static final String VERSION = "0.1.0";

  private final Function<Command, PlatformClient> connector;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the tool.
   *
   * @param connector connects to the platform that the options of a command specify
   * @param out receives results
   * @param err receives messages
   * @throws NullPointerException if an argument is null
   */
  public HibiscusreelCtl(
      Function<Command, PlatformClient> connector, PrintStream out, PrintStream err) {
    this.connector = Objects.requireNonNull(connector, "connector");
    this.out = Objects.requireNonNull(out, "out");
    this.err = Objects.requireNonNull(err, "err");
  }

  /** Options that are valid without a command. */
  private static final class MainOptions {

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Print the list of commands")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Print the version")
    private boolean version;
  }

  /**
   * Runs the tool and exits the process with its exit code.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    System.setProperty("logback.configurationFile", "hibiscusreelctl-logback.xml");
    System.exit(new HibiscusreelCtl(HibiscusreelCtl::connect, System.out, System.err).run(args));
  }

  /**
   * Runs the tool.
   *
   * @param args command line
   * @return one of {@link ExitCodes}
   */
  public int run(String... args) {
    MainOptions options = new MainOptions();
    JCommander root = createCommander(options);
    try {
      root.parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      err.println("see " + PROGRAM + " --help");
      return ExitCodes.USAGE_ERROR;
    }
    if (options.version) {
      out.println(PROGRAM + " " + VERSION);
      return ExitCodes.OK;
    }
    JCommander parsed = selectedCommander(root);
    Object selected = parsed.getObjects().get(0);
    if (options.help || !(selected instanceof Command command)) {
      return printHelp(
          parsed, options.help || (selected instanceof GroupOptions group && group.help));
    }
    if (command.isHelpRequested()) {
      return printHelp(parsed, true);
    }
    return execute(command);
  }

  private int execute(Command command) {
    try (CommandContext context = new CommandContext(() -> connector.apply(command), out, err)) {
      return command.run(context);
    } catch (CommandException e) {
      err.println(e.getMessage());
      return e.exitCode();
    }
  }

  private int printHelp(JCommander commander, boolean isRequested) {
    (isRequested ? out : err).print(HelpText.render(commander));
    return isRequested ? ExitCodes.OK : ExitCodes.USAGE_ERROR;
  }

  private static JCommander selectedCommander(JCommander root) {
    JCommander current = root;
    while (current.getParsedCommand() != null) {
      current = current.getCommands().get(current.getParsedCommand());
    }
    return current;
  }

  private static JCommander createCommander(MainOptions options) {
    JCommander root = new JCommander(options);
    root.setProgramName(PROGRAM);
    root.setExpandAtSign(false);
    addCommand(root, "check", new CheckCommand());
    addCommand(root, "diff", new DiffCommand());
    addCommand(root, "publish", new PublishCommand());
    addCommand(root, "history", new HistoryCommand());
    addCommand(root, "show", new ShowCommand());
    JCommander accounts = addGroup(root, "accounts");
    addCommand(accounts, "list", new AccountCommands.ListAccounts());
    addCommand(accounts, "new-key", new AccountCommands.NewKey());
    JCommander budgets = addGroup(root, "budgets");
    addCommand(budgets, "create", new BudgetCommands.Create());
    addCommand(budgets, "top-up", new BudgetCommands.TopUp());
    addCommand(budgets, "balance", new BudgetCommands.Balance());
    addCommand(budgets, "set-lean", new BudgetCommands.SetLean());
    JCommander upstreams = addGroup(root, "upstreams");
    addCommand(upstreams, "drain", new UpstreamCommands.Drain());
    addCommand(upstreams, "return", new UpstreamCommands.Return());
    JCommander hosts = addGroup(root, "hosts");
    addCommand(hosts, "list", new HostCommands.ListHosts());
    addCommand(hosts, "confirm-dead", new HostCommands.ConfirmDead());
    JCommander requests = addGroup(root, "requests");
    addCommand(requests, "show", new RequestCommands.Show());
    JCommander streams = addGroup(root, "streams");
    addCommand(streams, "compare", new StreamCommands.Compare());
    addCommand(root, "timeline", new TimelineCommand());
    addCommand(root, "report", new ReportCommand());
    return root;
  }

  /** Options of a command group. */
  private static final class GroupOptions {

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Print the list of commands")
    private boolean help;
  }

  private static JCommander addGroup(JCommander root, String name) {
    root.addCommand(name, new GroupOptions());
    JCommander group = root.getCommands().get(name);
    group.setExpandAtSign(false);
    return group;
  }

  private static void addCommand(JCommander group, String name, Command command) {
    group.addCommand(name, command);
  }

  private static PlatformClient connect(Command command) {
    return PlatformClient.connect(
        command::tableUrl, command::objectsUrl, command::hostsUrl, command.timeoutMillis());
  }
}
