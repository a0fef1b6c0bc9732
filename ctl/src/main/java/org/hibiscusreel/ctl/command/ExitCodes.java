package org.hibiscusreel.ctl.command;

/** Exit codes of the operator program. */
public final class ExitCodes {

  /** The command did what was asked. */
  public static final int OK = 0;

  /** A negative result: a conflict, an invalid document, a violated guarantee. */
  public static final int NEGATIVE = 1;

  /** The command line is not valid. */
  public static final int USAGE = 2;

  /** The platform is unreachable, or its answer was lost. */
  public static final int UNREACHABLE = 3;

  private ExitCodes() {}
}
