package org.hibiscusreel.ctl.command;

/** Ends a command with an exit code and a message for the operator. */
public final class CommandFailure extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int exitCode;

  /**
   * Creates a failure.
   *
   * @param exitCode one of {@link ExitCodes}
   * @param message what happened
   */
  public CommandFailure(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /**
   * Creates a failure because the platform can't be reached.
   *
   * @param reason what happened
   * @return the failure
   */
  public static CommandFailure unreachable(String reason) {
    return new CommandFailure(ExitCodes.UNREACHABLE, "the platform is unreachable: " + reason);
  }

  /**
   * Creates a failure because of the command line.
   *
   * @param message what is wrong
   * @return the failure
   */
  public static CommandFailure usage(String message) {
    return new CommandFailure(ExitCodes.USAGE, message);
  }

  /**
   * Returns the exit code.
   *
   * @return one of {@link ExitCodes}
   */
  public int exitCode() {
    return exitCode;
  }
}
