package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;

/** A subcommand with the options that all of them share. */
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
      description = "Longest time of one request to the platform in milliseconds")
  private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;

  /**
   * Runs the command.
   *
   * @param session access to the platform and the output
   * @return one of {@link ExitCodes}
   * @throws CommandFailure if the command can't go on
   */
  public abstract int run(Session session);

  /**
   * Tells whether only help is wanted.
   *
   * @return true if {@code --help} was given
   */
  public boolean isHelp() {
    return help;
  }

  /**
   * Returns the base URL of the table service.
   *
   * @return the URL without a trailing slash
   * @throws CommandFailure if no URL was given
   */
  public String tableUrl() {
    return url("--table", table);
  }

  /**
   * Returns the base URL of the object store.
   *
   * @return the URL without a trailing slash
   * @throws CommandFailure if no URL was given
   */
  public String objectsUrl() {
    return url("--objects", objects);
  }

  /**
   * Returns the base URL of the host list.
   *
   * @return the URL without a trailing slash
   * @throws CommandFailure if no URL was given
   */
  public String hostsUrl() {
    return url("--hosts", hosts);
  }

  /**
   * Returns the longest time of one request.
   *
   * @return milliseconds, positive
   * @throws CommandFailure if the value is not positive
   */
  public long timeoutMillis() {
    if (timeoutMillis <= 0) {
      throw CommandFailure.usage("--timeout-ms must be positive");
    }
    return timeoutMillis;
  }

  private String url(String option, String own) {
    String url = own == null ? platform : own;
    if (url == null) {
      throw CommandFailure.usage("give " + option + " or --platform");
    }
    if (!url.startsWith("http://") && !url.startsWith("https://")) {
      throw CommandFailure.usage(option + " must start with http:// or https://");
    }
    return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
  }
}
