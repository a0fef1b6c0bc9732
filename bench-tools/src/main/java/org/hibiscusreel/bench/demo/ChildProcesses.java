package org.hibiscusreel.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Child processes by name, each terminated by its own process ID. */
public final class ChildProcesses implements AutoCloseable {

  private final Path logDirectory;
  private final Map<String, Process> processesByName = new LinkedHashMap<>();
  private final Thread shutdownHook = new Thread(this::destroyAll, "kill-child-processes");

  /**
   * Creates an empty set whose processes are killed when this process shuts down.
   *
   * @param logDirectory directory of the log files, one for each process
   */
  public ChildProcesses(Path logDirectory) {
    this.logDirectory = logDirectory;
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /**
   * Starts a process.
   *
   * @param name name of the process and its log file
   * @param command the program and its arguments
   * @return the process
   * @throws IOException if it can't be started
   */
  public Process start(String name, List<String> command) throws IOException {
    return start(name, command, Map.of());
  }

  /**
   * Starts a process with further environment variables.
   *
   * @param name name of the process and its log file
   * @param command the program and its arguments
   * @param environment values by the names of the variables
   * @return the process
   * @throws IOException if it can't be started
   */
  public synchronized Process start(
      String name, List<String> command, Map<String, String> environment) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(logDirectory.resolve(name + ".log").toFile()));
    builder.environment().putAll(environment);
    Process p = builder.start();
    processesByName.put(name, p);
    return p;
  }

  /**
   * Sends a signal.
   *
   * @param name name of a started process
   * @param signal name of the signal without prefix, for example {@code STOP}
   * @throws IOException if it can't be sent
   * @throws InterruptedException if interrupted
   */
  public void signal(String name, String signal) throws IOException, InterruptedException {
    long pid = get(name).pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  /**
   * Returns a started process.
   *
   * @param name name of a started process
   * @return the process, or null if there is none of this name
   */
  public synchronized Process get(String name) {
    return processesByName.get(name);
  }

  /**
   * Runs a command and waits until it exits.
   *
   * @param command the command
   * @param maxExitCode largest exit code that is not treated as a failure
   * @return its standard output and standard error
   * @throws IOException if it can't be started
   * @throws InterruptedException if interrupted
   * @throws IllegalStateException if the exit code is larger than allowed or it runs for more than
   *     20 s
   */
  public String run(List<String> command, int maxExitCode)
      throws IOException, InterruptedException {
    Path out = Files.createTempFile(logDirectory, "command", ".out");
    Process p =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(out.toFile()).start();
    boolean hasExited = p.waitFor(20, TimeUnit.SECONDS);
    p.destroyForcibly();
    String text = Files.readString(out, StandardCharsets.UTF_8);
    if (!hasExited || p.exitValue() > maxExitCode) {
      throw new IllegalStateException(
          String.join(" ", command) + (hasExited ? " failed: " : " timed out: ") + text);
    }
    return text;
  }

  private synchronized void destroyAll() {
    List<Process> all = new ArrayList<>(processesByName.values());
    all.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() {
    destroyAll();
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
  }
}
