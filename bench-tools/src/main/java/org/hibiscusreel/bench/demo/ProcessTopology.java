package org.hibiscusreel.bench.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.bench.standin.Generation;

/** Names, addresses and configuration files of a set of processes on loopback. */
public final class ProcessTopology {

  static final String SITE = "costa-rica";

  /** The model that all engines serve. */
  public static final String MODEL = "release-writer";

  /** All client accounts. */
  public static final List<String> ACCOUNTS = List.of("laboratorio-uno", "laboratorio-dos");

  private static final int MAX_CONNECTIONS = 12_000;

  /** Addresses of the caller API of the daemons by host, in order of creation. */
  public final Map<String, String> callerAddresses = new LinkedHashMap<>();

  /** Addresses of the admin API of the daemons by host. */
  final Map<String, String> adminAddresses = new LinkedHashMap<>();

  /** Addresses of the engines by name. */
  public final Map<String, String> engineAddresses = new LinkedHashMap<>();

  final Map<String, String> serviceAddresses = new LinkedHashMap<>();
  final String platformAddress;
  private final Path directory;
  private final List<String> domains;
  private final int maxConcurrent;
  private final int maxConnections;
  private String tls = "";
  private final Map<String, String> peerAddresses = new LinkedHashMap<>();

  /**
   * Creates a topology on ports that are free now.
   *
   * @param directory directory of the settings and configuration files
   * @param domains names of the failure domains, with one plain service each
   * @param perDomain number of daemons and of engines in each failure domain
   * @param maxConcurrent limit of concurrent requests from one daemon to one upstream
   * @throws IOException if no free port is found or the loopback address can't be bound
   */
  public ProcessTopology(Path directory, List<String> domains, int perDomain, int maxConcurrent)
      throws IOException {
    this(directory, domains, perDomain, maxConcurrent, MAX_CONNECTIONS);
  }

  /**
   * Creates a topology whose daemons accept few connections.
   *
   * @param directory directory of the settings and configuration files
   * @param domains names of the failure domains, with one plain service each
   * @param perDomain number of daemons and of engines in each failure domain
   * @param maxConcurrent limit of concurrent requests from one daemon to one upstream
   * @param maxConnections limit of connections of callers to one daemon
   * @throws IOException if no free port is found or the loopback address can't be bound
   */
  ProcessTopology(
      Path directory, List<String> domains, int perDomain, int maxConcurrent, int maxConnections)
      throws IOException {
    this.directory = directory;
    this.domains = domains;
    this.maxConcurrent = maxConcurrent;
    this.maxConnections = maxConnections;
    List<String> free = findFreeAddresses(1 + domains.size() * (1 + 4 * perDomain));
    this.platformAddress = free.remove(0);
    for (String domain : domains) {
      for (int i = 1; i <= perDomain; i++) {
        engineAddresses.put("engine-" + domain + "-" + i, free.remove(0));
        callerAddresses.put(domain + "-" + i, free.remove(0));
        adminAddresses.put(domain + "-" + i, free.remove(0));
        peerAddresses.put(domain + "-" + i, free.remove(0));
      }
      serviceAddresses.put("records-" + domain, free.remove(0));
    }
  }

  /** Has the daemons that are started from now on use TLS at the callers' ports. */
  void useTls(Path certificate, Path key) {
    tls =
        "[tls.callers]\ncertificate = %s\nkey = %s"
            .formatted(quote(certificate.toString()), quote(key.toString()));
  }

  private static List<String> findFreeAddresses(int count) throws IOException {
    List<ServerSocket> open = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      open.add(s);
      addresses.add("127.0.0.1:" + s.getLocalPort());
    }
    for (ServerSocket s : open) {
      s.close();
    }
    return addresses;
  }

  /**
   * Returns the API key of a client account.
   *
   * @param account client account
   * @return the key
   */
  public static String clientKey(String account) {
    return "key-of-" + account;
  }

  static String budgetName(String account) {
    return account + "-main";
  }

  /** Writes the settings file of the daemon of a host. */
  Path writeSettings(String host) throws IOException {
    String seeds =
        String.join(
            ", ",
            peerAddresses.entrySet().stream()
                .filter(e -> !e.getKey().equals(host))
                .map(e -> quote(e.getValue()))
                .toList());
    String text =
        """
        [host]
        name = "%s"
        failure_domain = "%s"
        site = "%s"
        [listen]
        callers = "%s"
        admin = "%s"
        peers = "%s"
        [platform]
        table = "http://%s"
        objects = "http://%s"
        hosts = "http://%s"
        [peers]
        seeds = [%s]
        [limits]
        max_body_bytes = 1048576
        max_buffered_bills = 20000
        max_connections = %d
        drain_timeout_ms = 15000
        [log]
        level = "INFO"
        %s
        """
            .formatted(
                host,
                host.substring(0, host.lastIndexOf('-')),
                SITE,
                callerAddresses.get(host),
                adminAddresses.get(host),
                peerAddresses.get(host),
                platformAddress,
                platformAddress,
                platformAddress,
                seeds,
                maxConnections,
                tls);
    return Files.writeString(directory.resolve(host + ".toml"), text);
  }

  /** Writes the base configuration. */
  Path writeBase() throws IOException {
    StringBuilder b = new StringBuilder();
    b.append("[serving]\ndeadline_ms = 30000\nworth = 1.0\npriority = 0\nmax_tokens = 512\n");
    b.append("[sites.costa-rica]\nfailure_domains = [");
    b.append(String.join(", ", domains.stream().map(ProcessTopology::quote).toList()))
        .append("]\n");
    b.append("[models.release-writer]\nmax_tokens = 4096\nmax_concurrent = 0\n");
    engineAddresses.forEach((n, a) -> appendUpstream(b, n, "engine", a, MODEL));
    serviceAddresses.forEach((n, a) -> appendUpstream(b, n, "service", a, "release-records"));
    b.append("[services.release-records.methods.sign]\nrepeatable = false\n");
    b.append("cost_tokens = 50\nworth = 20.0\ndeadline_ms = 10000\n");
    b.append("[services.release-records.methods.look-up]\nrepeatable = true\n");
    b.append("cost_tokens = 5\nworth = 2.0\ndeadline_ms = 10000\n");
    for (String a : ACCOUNTS) {
      b.append("[accounts.").append(a).append("]\nkey_sha256 = [");
      b.append(quote(Generation.sha256(clientKey(a)))).append("]\nbudgets = [");
      b.append(quote(budgetName(a))).append("]\nmax_concurrent = 0\nrequests_per_second = 0.0\n");
    }
    return Files.writeString(directory.resolve("base.toml"), b);
  }

  /** Writes the configuration overlay of the site. */
  Path writeOverlay() throws IOException {
    return Files.writeString(directory.resolve("overlay.toml"), "[serving]\ndeadline_ms = 20000\n");
  }

  private void appendUpstream(
      StringBuilder b, String name, String kind, String address, String serves) {
    String domain = domains.stream().filter(name::contains).findFirst().orElseThrow();
    b.append("[upstreams.").append(name).append("]\nkind = ").append(quote(kind));
    b.append("\naddress = ").append(quote(address));
    b.append("\nfailure_domain = ").append(quote(domain));
    b.append("\nsite = ").append(quote(SITE)).append("\nserves = [").append(quote(serves));
    b.append("]\nmax_concurrent = ")
        .append(maxConcurrent)
        .append("\nchecks_fencing = true\nleaving = false\n");
  }

  private static String quote(String text) {
    return '"' + text + '"';
  }
}
