package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hibiscusreel.core.budget.Lean;

/**
 * Shape of a simulated deployment.
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

  /** Price of a plain service call in tokens. */
  public static final long SERVICE_TOKENS = 10;

  /**
   * A failure domain.
   *
   * @param name its name
   * @param daemons number of entry hosts
   * @param engines number of model engines
   */
  public record Domain(String name, int daemons, int engines) {}

  /**
   * A budget.
   *
   * @param name its identifier
   * @param account client account that owns it
   * @param granted tokens granted at the start
   * @param lean how its allotments are sized
   */
  public record Budget(String name, String account, long granted, Lean lean) {}

  /** Copies the lists. */
  public Topology {
    domains = List.copyOf(domains);
    budgets = List.copyOf(budgets);
  }

  /**
   * Creates a deployment whose failure domains are of one size.
   *
   * @param site name of the site
   * @param names names of the failure domains
   * @param daemons entry hosts in each failure domain
   * @param engines model engines in each failure domain
   * @param budgets the budgets
   * @return the shape
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
    return numbered(domain + "-host-", domain(domain).daemons());
  }

  /**
   * Returns the names of the engines of a failure domain.
   *
   * @param domain the failure domain
   * @return the names
   */
  public List<String> engines(String domain) {
    return numbered(domain + "-engine-", domain(domain).engines());
  }

  private static List<String> numbered(String prefix, int count) {
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      names.add(prefix + i);
    }
    return names;
  }

  /**
   * Returns the configuration as operators would write it.
   *
   * @return TOML text
   */
  public String toToml() {
    StringBuilder b = new StringBuilder();
    b.append("[serving]\ndeadline_ms = 30000\nworth = 1.0\npriority = 0\nmax_tokens = 512\n");
    b.append(String.format("[sites.%s]\nfailure_domains = [%s]\n", site, quoted(failureDomains())));
    b.append(String.format("[models.%s]\nmax_tokens = 4096\nmax_concurrent = 0\n", MODEL));
    int port = 9100;
    for (String d : failureDomains()) {
      for (String e : engines(d)) {
        upstream(b, e, "engine", d, MODEL, port++);
      }
      upstream(b, d + "-records", "service", d, SERVICE, port++);
    }
    method(b, "sign", false);
    method(b, "lookup", true);
    for (String a : budgets.stream().map(Budget::account).distinct().toList()) {
      List<String> own =
          budgets.stream().filter(x -> x.account().equals(a)).map(Budget::name).toList();
      b.append(String.format("[accounts.%s]\nkey_sha256 = [\"%s\"]\n", a, digest(a)));
      b.append(String.format("budgets = [%s]\n", quoted(own)));
      b.append("max_concurrent = 0\nrequests_per_second = 0.0\n");
    }
    return b.toString();
  }

  private void upstream(
      StringBuilder b, String name, String kind, String domain, String serves, int port) {
    b.append(String.format("[upstreams.%s]\nkind = \"%s\"\n", name, kind));
    b.append(String.format("address = \"127.0.0.1:%d\"\nfailure_domain = \"%s\"\n", port, domain));
    b.append(String.format("site = \"%s\"\nserves = [\"%s\"]\n", site, serves));
    b.append("max_concurrent = 256\nchecks_fencing = true\nleaving = false\n");
  }

  private static void method(StringBuilder b, String name, boolean repeatable) {
    b.append(String.format("[services.%s.methods.%s]\n", SERVICE, name));
    b.append(String.format("repeatable = %s\ncost_tokens = %d\n", repeatable, SERVICE_TOKENS));
    b.append("worth = 10.0\ndeadline_ms = 10000\n");
  }

  private static String quoted(List<String> names) {
    return "\"" + String.join("\", \"", names) + "\"";
  }

  private static String digest(String account) {
    return String.format(Locale.ROOT, "%064x", account.hashCode() & 0xffffffffL);
  }
}
