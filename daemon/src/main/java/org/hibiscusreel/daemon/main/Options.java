package org.hibiscusreel.daemon.main;

import com.beust.jcommander.Parameter;

/** Command line of the daemon. */
final class Options {

  @Parameter(
      names = "--settings",
      description = "TOML file with the settings of this daemon",
      order = 0)
  String settings;

  @Parameter(
      names = "--check",
      description = "Check the settings and exit with 0 if they are valid, otherwise with 2",
      order = 1)
  boolean check;

  @Parameter(names = "--version", description = "Print the version and exit", order = 2)
  boolean version;

  @Parameter(names = "--help", description = "Print this text and exit", help = true, order = 3)
  boolean help;
}
