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
import org.hibiscusreel.ctl.command.CommandFailure;
import org.hibiscusreel.ctl.command.DiffCommand;
import org.hibiscusreel.ctl.command.ExitCodes;
import org.hibiscusreel.ctl.command.HistoryCommand;
import org.hibiscusreel.ctl.command.HostCommands;
import org.hibiscusreel.ctl.command.PublishCommand;
import org.hibiscusreel.ctl.command.ReportCommand;
import org.hibiscusreel.ctl.command.RequestCommands;
import org.hibiscusreel.ctl.command.Session;
import org.hibiscusreel.ctl.command.ShowCommand;
import org.hibiscusreel.ctl.command.TimelineCommand;
import org.hibiscusreel.ctl.command.UpstreamCommands;
import org.hibiscusreel.ctl.platform.Platform;

/** Entry point of the operator program. */
public final class HibiscusreelCtl {

  static final String PROGRAM = "hibiscusreelctl";
  private static final String VERSION = "0.1.0";

  private final Function<Command, Platform> connector;
  private final PrintStream out;
  private final PrintStream err;

  /**
   * Creates the program.
   *
   * @param connector connects to the platform that the options of a command name
   * @param out receives results
   * @param err receives messages
   * @throws NullPointerException if an argument is null
   */
  public HibiscusreelCtl(Function<Command, Platform> connector, PrintStream out, PrintStream err) {
    this.connector = Objects.requireNonNull(connector, "connector");
    this.out = Objects.requireNonNull(out, "out");
    this.err = Objects.requireNonNull(err, "err");
  }

  /** Options that need no command. */
  private static final class MainOptions {

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Print the commands")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Print the version")
    private boolean version;
  }

  /**
   * Runs the program and exits.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    System.setProperty("logback.configurationFile", "hibiscusreelctl-logback.xml");
    System.exit(new HibiscusreelCtl(HibiscusreelCtl::connect, System.out, System.err).run(args));
  }

  /**
   * Runs the program.
   *
   * @param args command line
   * @return one of {@link ExitCodes}
   */
  public int run(String... args) {
    MainOptions options = new MainOptions();
    JCommander root = commands(options);
    try {
      root.parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      err.println("see " + PROGRAM + " --help");
      return ExitCodes.USAGE;
    }
    if (options.version) {
      out.println(PROGRAM + " " + VERSION);
      return ExitCodes.OK;
    }
    JCommander parsed = deepest(root);
    Object selected = parsed.getObjects().get(0);
    if (options.help || !(selected instanceof Command command)) {
      return usage(parsed, options.help || (selected instanceof Group group && group.help));
    }
    if (command.isHelp()) {
      return usage(parsed, true);
    }
    return execute(command);
  }

  private int execute(Command command) {
    try (Session session = new Session(() -> connector.apply(command), out, err)) {
      return command.run(session);
    } catch (CommandFailure e) {
      err.println(e.getMessage());
      return e.exitCode();
    }
  }

  private int usage(JCommander commander, boolean wanted) {
    (wanted ? out : err).print(Usage.of(commander));
    return wanted ? ExitCodes.OK : ExitCodes.USAGE;
  }

  private static JCommander deepest(JCommander root) {
    JCommander at = root;
    while (at.getParsedCommand() != null) {
      at = at.getCommands().get(at.getParsedCommand());
    }
    return at;
  }

  private static JCommander commands(MainOptions options) {
    JCommander root = new JCommander(options);
    root.setProgramName(PROGRAM);
    root.setExpandAtSign(false);
    add(root, "check", new CheckCommand());
    add(root, "diff", new DiffCommand());
    add(root, "publish", new PublishCommand());
    add(root, "history", new HistoryCommand());
    add(root, "show", new ShowCommand());
    JCommander accounts = group(root, "accounts");
    add(accounts, "list", new AccountCommands.ListAccounts());
    add(accounts, "new-key", new AccountCommands.NewKey());
    JCommander budgets = group(root, "budgets");
    add(budgets, "create", new BudgetCommands.Create());
    add(budgets, "top-up", new BudgetCommands.TopUp());
    add(budgets, "balance", new BudgetCommands.Balance());
    add(budgets, "set-lean", new BudgetCommands.SetLean());
    JCommander upstreams = group(root, "upstreams");
    add(upstreams, "drain", new UpstreamCommands.Drain());
    add(upstreams, "return", new UpstreamCommands.Return());
    JCommander hosts = group(root, "hosts");
    add(hosts, "list", new HostCommands.ListHosts());
    add(hosts, "confirm-dead", new HostCommands.ConfirmDead());
    JCommander requests = group(root, "requests");
    add(requests, "show", new RequestCommands.Show());
    add(root, "timeline", new TimelineCommand());
    add(root, "report", new ReportCommand());
    return root;
  }

  /** Options of a group of commands. */
  private static final class Group {

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Print the commands")
    private boolean help;
  }

  private static JCommander group(JCommander root, String name) {
    root.addCommand(name, new Group());
    JCommander group = root.getCommands().get(name);
    group.setExpandAtSign(false);
    return group;
  }

  private static void add(JCommander group, String name, Command command) {
    group.addCommand(name, command);
  }

  private static Platform connect(Command command) {
    return Platform.connect(
        command::tableUrl, command::objectsUrl, command::hostsUrl, command.timeoutMillis());
  }
}
