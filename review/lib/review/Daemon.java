package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One daemon in a process of its own, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {

  static final int FRONT = 8227;
  private static final int READY = 8220;
  private static int count;

  final String name;
  final String ip;
  private final Path folder;
  private final Path settings;
  private final Record record;
  private Process process;
  private int starts;

  Daemon(Path folder, Record record, String store) throws IOException {
    int n = ++count;
    long pid = ProcessHandle.current().pid();
    this.name = "front-a-" + n;
    // The port of the metrics is fixed, so each daemon has a loopback address of its own.
    this.ip = String.format("127.%d.%d.%d", 1 + pid / 250 % 250, 1 + pid % 250, n);
    this.folder = folder;
    this.record = record;
    this.settings = folder.resolve(name + ".toml");
    Files.writeString(settings, settings(store));
  }

  private String settings(String store) {
    return String.join(
        "\n",
        "node_name = \"" + name + "\"",
        "role = \"router\"",
        "machine_class = \"front\"",
        "serves = [\"front\"]",
        "ip = \"" + ip + "\"",
        "zone = \"a\"",
        "region = \"r\"",
        "inner_ports = [7340,7355]",
        "seeds = []",
        "bootstrap = true",
        "[zones]",
        "a = \"r\"",
        "[listen]",
        "front = \"" + ip + ":" + FRONT + "\"",
        "ready_addr = \"" + ip + ":" + READY + "\"",
        "[limits]",
        "cpu_share = 0.75",
        "cores = 1",
        "memory_mb = 280",
        "max_fds = 4100",
        "link_mbps = 1000.0",
        "disk_mb = 0",
        "[bounds]",
        "drain_ms = 2000",
        "grace_s = 8",
        "contact_ms = 3000",
        "config_ms = 2000",
        "retry_budget_ratio = 0.2",
        "budget_window_s = 10",
        "retry_slack = 56",
        "[platform]",
        "addr = \"" + store + "\"",
        "form = \"table\"",
        "writes_per_s = 800",
        "reads_per_s = 2000",
        "tx_ms = 8.0",
        "history_s = 20",
        "");
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file names no command");
  }

  void start() throws IOException {
    ProcessBuilder b = new ProcessBuilder(command());
    Map<String, String> env = b.environment();
    env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    env.put("HIBISCUSREEL_CONFIG", settings.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(folder.resolve(name + "-" + ++starts + ".log").toFile());
    process = b.start();
    record.add("daemon %s started pid=%d ip=%s", name, process.pid(), ip);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Returns what the last process wrote. */
  Path log() {
    return folder.resolve(name + "-" + starts + ".log");
  }

  boolean isReady() {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(ip, READY), 500);
      s.setSoTimeout(1000);
      s.getOutputStream()
          .write(("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes());
      return Http.readAnswer(s.getInputStream()).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until the daemon is ready; the case can't run without that. */
  void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!isReady()) {
      if (System.nanoTime() > end) {
        throw new CannotRunException(name + " does not become ready");
      }
      Thread.sleep(50);
    }
    record.add("daemon %s ready", name);
  }

  void signal(String signal) throws Exception {
    record.add("daemon %s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  void awaitEnd(int seconds) throws Exception {
    process.waitFor(seconds, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** The case could not be played. */
  static final class CannotRunException extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRunException(String message) {
      super(message);
    }
  }
}
