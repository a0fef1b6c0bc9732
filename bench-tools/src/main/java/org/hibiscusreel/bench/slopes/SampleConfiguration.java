package org.hibiscusreel.bench.slopes;

/** Generates configurations of any size in the layout that operators use. */
final class SampleConfiguration {

  static final String MODEL = "model-0";

  private SampleConfiguration() {}

  /**
   * Generates a configuration in TOML.
   *
   * @param upstreams number of engines, in 7 failure domains
   * @param accounts number of client accounts
   * @param budgets number of budgets, assigned to the client accounts in turn
   */
  static String toToml(int upstreams, int accounts, int budgets) {
    StringBuilder b = new StringBuilder();
    b.append("[serving]\ndeadline_ms = 30000\nworth = 1.0\npriority = 0\nmax_tokens = 512\n");
    b.append("[sites.site-0]\nfailure_domains = [\"domain-0\", \"domain-1\", \"domain-2\",");
    b.append(" \"domain-3\", \"domain-4\", \"domain-5\", \"domain-6\"]\n");
    for (int i = 0; i < 20; i++) {
      b.append(String.format("[models.model-%d]\nmax_tokens = 4096\nmax_concurrent = 0\n", i));
    }
    for (int i = 0; i < upstreams; i++) {
      b.append(String.format("[upstreams.engine-%d]\nkind = \"engine\"\n", i));
      b.append(String.format("address = \"127.0.%d.%d:9100\"\n", i / 250, i % 250 + 1));
      b.append(String.format("failure_domain = \"domain-%d\"\nsite = \"site-0\"\n", i % 7));
      b.append(String.format("serves = [\"model-%d\"]\nmax_concurrent = 64\n", i % 20));
      b.append("checks_fencing = true\nleaving = false\n");
    }
    for (int i = 0; i < accounts; i++) {
      b.append(String.format("[accounts.account-%d]\n", i));
      String digest = String.format("%016x%016x", i * 0x9E3779B97F4A7C15L, i * 0xD1B54A32D192ED03L);
      b.append(String.format("key_sha256 = [\"%s%s\"]\nbudgets = [", digest, digest));
      String separator = "";
      for (int k = i; k < budgets; k += accounts) {
        b.append(separator).append(String.format("\"account-%d-budget-%d\"", i, k));
        separator = ", ";
      }
      b.append("]\nmax_concurrent = 0\nrequests_per_second = 0.0\n");
    }
    return b.toString();
  }
}
