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

/** Child processes, each ended by its own process id. */
public final class Processes implements AutoCloseable {

  private final Path logs;
  private final Map<String, Process> running = new LinkedHashMap<>();
  private final Thread hook = new Thread(this::endAll, "end-children");

  /**
   * Creates an empty set that is ended when this process is interrupted.
   *
   * @param logs directory of the log files, one for each process
   */
  public Processes(Path logs) {
    this.logs = logs;
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /**
   * Starts a process.
   *
   * @param name name of the process and its log file
   * @param command the command
   * @return the process
   * @throws IOException if it can't be started
   */
  public synchronized Process start(String name, List<String> command) throws IOException {
    Process p =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve(name + ".log").toFile()))
            .start();
    running.put(name, p);
    return p;
  }

  /**
   * Sends a signal.
   *
   * @param name name of a started process
   * @param signal for example {@code STOP}
   * @throws IOException if it can't be sent
   * @throws InterruptedException if interrupted
   */
  public void signal(String name, String signal) throws IOException, InterruptedException {
    long pid = get(name).pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  /**
   * Returns a process.
   *
   * @param name name of a started process
   * @return the process
   */
  public synchronized Process get(String name) {
    return running.get(name);
  }

  /**
   * Runs a command to its end.
   *
   * @param command the command
   * @param maxExit largest exit code that is no failure
   * @return its output
   * @throws IOException if it can't be started
   * @throws InterruptedException if interrupted
   * @throws IllegalStateException if it exits with more than the allowed code or runs for more than
   *     20 s
   */
  public String run(List<String> command, int maxExit) throws IOException, InterruptedException {
    Path out = Files.createTempFile(logs, "command", ".out");
    Process p =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(out.toFile()).start();
    boolean isOver = p.waitFor(20, TimeUnit.SECONDS);
    p.destroyForcibly();
    String text = Files.readString(out, StandardCharsets.UTF_8);
    if (!isOver || p.exitValue() > maxExit) {
      throw new IllegalStateException(
          String.join(" ", command) + (isOver ? " failed: " : " timed out: ") + text);
    }
    return text;
  }

  private synchronized void endAll() {
    List<Process> all = new ArrayList<>(running.values());
    all.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() {
    endAll();
    Runtime.getRuntime().removeShutdownHook(hook);
  }
}
