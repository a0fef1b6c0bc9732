package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;

/** A command with the options that are common to all commands. */
public abstract class Command {

  private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Print the options of this command")
  private boolean help;

  @Parameter(names = "--platform", description = "Base URL of all services of the platform")
  private String platform;

  @Parameter(names = "--table", description = "Base URL of the table service")
  private String table;

  @Parameter(names = "--objects", description = "Base URL of the object store")
  private String objects;

  @Parameter(names = "--hosts", description = "Base URL of the host list")
  private String hosts;

  @Parameter(
      names = "--timeout-ms",
      description = "Timeout of a request to the platform in milliseconds")
  private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;

  /**
   * Runs the command.
   *
   * @param context access to the platform and the output streams
   * @return one of {@link ExitCodes}
   * @throws CommandException if the command fails
   */
  public abstract int run(CommandContext context);

  /**
   * Returns whether help was requested instead of a run of the command.
   *
   * @return true if {@code --help} was given
   */
  public boolean isHelpRequested() {
    return help;
  }

  /**
   * Returns the base URL of the table service.
   *
   * @return the URL without a trailing slash
   * @throws CommandException if no URL was given
   */
  public String tableUrl() {
    return resolveUrl("--table", table);
  }

  /**
   * Returns the base URL of the object store.
   *
   * @return the URL without a trailing slash
   * @throws CommandException if no URL was given
   */
  public String objectsUrl() {
    return resolveUrl("--objects", objects);
  }

  /**
   * Returns the base URL of the host list.
   *
   * @return the URL without a trailing slash
   * @throws CommandException if no URL was given
   */
  public String hostsUrl() {
    return resolveUrl("--hosts", hosts);
  }

  /**
   * Returns the timeout of a request to the platform.
   *
   * @return the timeout in milliseconds, positive
   * @throws CommandException if the value is not positive
   */
  public long timeoutMillis() {
    if (timeoutMillis <= 0) {
      throw CommandException.usageError("--timeout-ms must be positive");
    }
    return timeoutMillis;
  }

  private String resolveUrl(String option, String serviceUrl) {
    String url = serviceUrl == null ? platform : serviceUrl;
    if (url == null) {
      throw CommandException.usageError("missing option " + option + " or --platform");
    }
    if (!url.startsWith("http://") && !url.startsWith("https://")) {
      throw CommandException.usageError(option + " must start with http:// or https://");
    }
    return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
  }
}
