package org.hibiscusreel.ctl.command;

/** Exit codes of the command-line tool for operators. */
public final class ExitCodes {

  /** The command succeeded. */
  public static final int OK = 0;

  /**
   * The command failed or found a violation, for example a conflict, an invalid document or a
   * violated guarantee.
   */
  public static final int FAILURE = 1;

  /** The command line is invalid. */
  public static final int USAGE_ERROR = 2;

  /** The platform is unreachable, or its response was lost. */
  public static final int PLATFORM_UNREACHABLE = 3;

  private ExitCodes() {}
}
