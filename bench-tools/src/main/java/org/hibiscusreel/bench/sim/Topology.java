package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hibiscusreel.core.budget.AllotmentPolicy;

/**
 * Topology of a simulated deployment.
 *
 * @param site name of the site
 * @param domains the failure domains
 * @param budgets the budgets
 */
public record Topology(String site, List<Domain> domains, List<Budget> budgets) {

  /** Name of the simulated model. */
  public static final String MODEL = "writer";

  /** Name of the simulated plain service. */
  public static final String SERVICE = "records";

  /** Price of a plain service call, in tokens. */
  public static final long SERVICE_TOKENS = 10;

  /**
   * A failure domain.
   *
   * @param name name of the failure domain
   * @param daemons number of hosts, each with one daemon
   * @param engines number of model engines
   */
  public record Domain(String name, int daemons, int engines) {}

  /**
   * A budget.
   *
   * @param name identifier of the budget
   * @param account client account that owns it
   * @param granted number of tokens granted at the start
   * @param lean policy that sizes the allotments of the budget
   */
  public record Budget(String name, String account, long granted, AllotmentPolicy lean) {}

  /** Creates a topology with unmodifiable copies of the lists. */
  public Topology {
    domains = List.copyOf(domains);
    budgets = List.copyOf(budgets);
  }

  /**
   * Creates a topology whose failure domains all have the same size.
   *
   * @param site name of the site
   * @param names names of the failure domains
   * @param daemons number of hosts in each failure domain
   * @param engines number of model engines in each failure domain
   * @param budgets the budgets
   * @return the topology
   */
  public static Topology uniform(
      String site, List<String> names, int daemons, int engines, List<Budget> budgets) {
    return new Topology(
        site, names.stream().map(n -> new Domain(n, daemons, engines)).toList(), budgets);
  }

  /**
   * Returns the names of the failure domains.
   *
   * @return the names
   */
  public List<String> failureDomains() {
    return domains.stream().map(Domain::name).toList();
  }

  private Domain domain(String name) {
    return domains.stream()
        .filter(d -> d.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no failure domain " + name));
  }

  /**
   * Returns the names of the hosts of a failure domain.
   *
   * @param domain the failure domain
   * @return the names
   */
  public List<String> hosts(String domain) {
    return numberedNames(domain + "-host-", domain(domain).daemons());
  }

  /**
   * Returns the names of the engines of a failure domain.
   *
   * @param domain the failure domain
   * @return the names
   */
  public List<String> engines(String domain) {
    return numberedNames(domain + "-engine-", domain(domain).engines());
  }

  private static List<String> numberedNames(String prefix, int count) {
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      names.add(prefix + i);
    }
    return names;
  }

  /**
   * Returns the configuration of the deployment.
   *
   * @return TOML text
   */
  public String toToml() {
    StringBuilder toml = new StringBuilder();
    toml.append("[serving]\ndeadline_ms = 30000\nworth = 1.0\npriority = 0\nmax_tokens = 512\n");
    toml.append(
        String.format("[sites.%s]\nfailure_domains = [%s]\n", site, quotedList(failureDomains())));
    toml.append(String.format("[models.%s]\nmax_tokens = 4096\nmax_concurrent = 0\n", MODEL));
    int port = 9100;
    for (String d : failureDomains()) {
      for (String e : engines(d)) {
        appendUpstream(toml, e, "engine", d, MODEL, port++);
      }
      appendUpstream(toml, d + "-records", "service", d, SERVICE, port++);
    }
    appendMethod(toml, "sign", false);
    appendMethod(toml, "lookup", true);
    for (String a : budgets.stream().map(Budget::account).distinct().toList()) {
      List<String> budgetNames =
          budgets.stream().filter(x -> x.account().equals(a)).map(Budget::name).toList();
      toml.append(
          String.format("[accounts.%s]\nkey_sha256 = [\"%s\"]\n", a, placeholderKeyDigest(a)));
      toml.append(String.format("budgets = [%s]\n", quotedList(budgetNames)));
      toml.append("max_concurrent = 0\nrequests_per_second = 0.0\n");
    }
    return toml.toString();
  }

  private void appendUpstream(
      StringBuilder toml, String name, String kind, String domain, String serves, int port) {
    toml.append(String.format("[upstreams.%s]\nkind = \"%s\"\n", name, kind));
    toml.append(
        String.format("address = \"127.0.0.1:%d\"\nfailure_domain = \"%s\"\n", port, domain));
    toml.append(String.format("site = \"%s\"\nserves = [\"%s\"]\n", site, serves));
    toml.append("max_concurrent = 256\nchecks_fencing = true\nleaving = false\n");
  }

  private static void appendMethod(StringBuilder toml, String name, boolean repeatable) {
    toml.append(String.format("[services.%s.methods.%s]\n", SERVICE, name));
    toml.append(String.format("repeatable = %s\ncost_tokens = %d\n", repeatable, SERVICE_TOKENS));
    toml.append("worth = 10.0\ndeadline_ms = 10000\n");
  }

  private static String quotedList(List<String> names) {
    return "\"" + String.join("\", \"", names) + "\"";
  }

  private static String placeholderKeyDigest(String account) {
    return String.format(Locale.ROOT, "%064x", account.hashCode() & 0xffffffffL);
  }
}
