import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon in a process of its own, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {

  private static final int FRONT_PORT = 8_227;
  private static final int READY_PORT = 8_220;
  private static final long START_TIMEOUT_SECONDS = 30;

  private static int created;

  final String name;
  final String ip;
  private final Path folder;
  private final List<String> command;
  private Process process;

  /** Writes the settings of a daemon on a loopback address of its own. */
  Daemon(Path folder, String storeAddress) throws IOException {
    int number = ++created;
    long pid = ProcessHandle.current().pid();
    this.folder = folder;
    this.name = "front-z-a-" + number;
    this.ip = "127." + (1 + pid / 250 % 250) + "." + (pid % 250) + "." + number;
    Files.writeString(settings(), settings(storeAddress));
    this.command = readCommand();
  }

  private Path settings() {
    return folder.resolve(name + ".toml");
  }

  private String settings(String storeAddress) {
    return String.join(
        "\n",
        "node_name = \"" + name + "\"",
        "role = \"router\"",
        "machine_class = \"front\"",
        "serves = [\"front\"]",
        "ip = \"" + ip + "\"",
        "zone = \"z-a\"",
        "region = \"z\"",
        "inner_ports = [7340,7355]",
        "seeds = []",
        "bootstrap = true",
        "in_tolerance = false",
        "discovery = \"platform\"",
        "entry = \"vip\"",
        "heartbeat_ms = 1200",
        "[zones]",
        "z-a = \"z\"",
        "[listen]",
        "front = \"" + ip + ":" + FRONT_PORT + "\"",
        "ready_addr = \"" + ip + ":" + READY_PORT + "\"",
        "[limits]",
        "cpu_share = 0.75",
        "cores = 1",
        "memory_mb = 280",
        "max_fds = 4100",
        "link_mbps = 1000.0",
        "disk_mb = 0",
        "[bounds]",
        "contact_ms = 3000",
        "drain_ms = 2000",
        "grace_s = 8",
        "loss_slack_ms = 200",
        "config_ms = 2000",
        "retry_budget_ratio = 0.2",
        "budget_window_s = 10",
        "retry_slack = 56",
        "[platform]",
        "addr = \"" + storeAddress + "\"",
        "form = \"table\"",
        "writes_per_s = 800",
        "reads_per_s = 2000",
        "tx_ms = 8.0",
        "row_bytes = 65536",
        "history_s = 20",
        "");
  }

  /** Returns the words of {@code run} of the first role in the deploy file. */
  private static List<String> readCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(text.split(" +")));
      }
    }
    throw new IOException("the deploy file has no command");
  }

  void start() throws IOException {
    ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
    b.environment().put("HIBISCUSREEL_CONFIG", settings().toString());
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = b.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  /** Waits until the daemon says that it is ready. */
  void awaitReady() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    while (!isReady()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        throw new IOException(name + " does not become ready");
      }
      Thread.sleep(100);
    }
  }

  boolean isReady() {
    try {
      HttpURLConnection c =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + READY_PORT + "/ready").toURL().openConnection();
      c.setConnectTimeout(1_000);
      c.setReadTimeout(1_000);
      int status = c.getResponseCode();
      c.disconnect();
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  Socket connect() throws IOException {
    Socket s = new Socket();
    s.connect(new InetSocketAddress(InetAddress.getByName(ip), FRONT_PORT), 1_000);
    s.setTcpNoDelay(true);
    return s;
  }

  /** Returns the last lines that the daemon wrote with a text in them. */
  List<String> logLines(String text) throws IOException {
    return Files.readAllLines(folder.resolve(name + ".log")).stream()
        .filter(l -> l.contains(text))
        .toList();
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null && process.isAlive()) {
      process.destroyForcibly().waitFor();
    }
  }
}
