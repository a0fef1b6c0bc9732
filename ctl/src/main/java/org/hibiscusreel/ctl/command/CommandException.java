package org.hibiscusreel.ctl.command;

/** Thrown to end a command with an exit code and a message for the operator. */
public final class CommandException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int exitCode;

  /**
   * Creates an exception.
   *
   * @param exitCode one of {@link ExitCodes}
   * @param message message for the operator
   */
  public CommandException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /**
   * Creates an exception for an unreachable platform.
   *
   * @param reason description of the failure
   * @return the exception
   */
  public static CommandException platformUnreachable(String reason) {
    return new CommandException(
        ExitCodes.PLATFORM_UNREACHABLE, "the platform is unreachable: " + reason);
  }

  /**
   * Creates an exception for an invalid command line.
   *
   * @param message description of the error
   * @return the exception
   */
  public static CommandException usageError(String message) {
    return new CommandException(ExitCodes.USAGE_ERROR, message);
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
