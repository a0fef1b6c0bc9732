package org.hibiscusreel.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/** Validates the references between sections of a configuration. */
final class ConfigurationReferences {

  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  private final Configuration configuration;
  private final List<ConfigurationError> errors = new ArrayList<>();

  private ConfigurationReferences(Configuration configuration) {
    this.configuration = configuration;
  }

  /** Returns the errors in the order of their paths. */
  static List<ConfigurationError> check(Configuration configuration) {
    ConfigurationReferences r = new ConfigurationReferences(configuration);
    r.checkSites();
    new TreeMap<>(configuration.upstreams()).values().forEach(r::checkUpstream);
    r.checkAccounts();
    return r.errors;
  }

  private void checkSites() {
    if (configuration.sites().isEmpty()) {
      error("sites", "at least one site is needed");
    }
    Map<String, String> owners = new HashMap<>();
    for (Site site : new TreeMap<>(configuration.sites()).values()) {
      for (String domain : site.failureDomains()) {
        String owner = owners.putIfAbsent(domain, site.name());
        if (owner != null && !owner.equals(site.name())) {
          error(
              path("sites", site.name(), "failure_domains"),
              "failure domain \"" + domain + "\" belongs to site \"" + owner + "\"");
        }
      }
    }
  }

  private void checkUpstream(Upstream upstream) {
    checkLocation(upstream);
    String path = path("upstreams", upstream.name(), "serves");
    if (upstream.kind() == UpstreamKind.SERVICE) {
      if (upstream.serves().size() > 1) {
        error(path, "an upstream of kind \"service\" serves exactly one plain service");
      }
      for (String service : upstream.serves()) {
        if (!configuration.services().containsKey(service)) {
          error(path, "plain service \"" + service + "\" does not exist");
        }
      }
      return;
    }
    for (String model : upstream.serves()) {
      if (!configuration.models().containsKey(model)) {
        error(path, "model \"" + model + "\" does not exist");
      }
    }
  }

  private void checkLocation(Upstream upstream) {
    if (upstream.site().isEmpty()) {
      return;
    }
    Site site = configuration.sites().get(upstream.site());
    if (site == null) {
      error(
          path("upstreams", upstream.name(), "site"),
          "site \"" + upstream.site() + "\" does not exist");
    } else if (!upstream.failureDomain().isEmpty()
        && !site.failureDomains().contains(upstream.failureDomain())) {
      error(
          path("upstreams", upstream.name(), "failure_domain"),
          "site \"" + site.name() + "\" has no failure domain \"" + upstream.failureDomain() + '"');
    }
  }

  private void checkAccounts() {
    Map<String, String> keyOwners = new HashMap<>();
    Map<String, String> budgetOwners = new HashMap<>();
    for (ClientAccount account : new TreeMap<>(configuration.accounts()).values()) {
      String keys = path("accounts", account.id(), "key_sha256");
      for (String digest : account.keyDigests()) {
        if (!SHA256.matcher(digest).matches()) {
          error(keys, "\"" + digest + "\" is not a SHA-256 digest of 64 lower-case digits");
        }
        checkOwner(keys, "key digest", digest, account.id(), keyOwners);
      }
      String budgets = path("accounts", account.id(), "budgets");
      for (String budget : account.budgets()) {
        checkOwner(budgets, "budget", budget, account.id(), budgetOwners);
      }
    }
  }

  private void checkOwner(
      String path, String description, String value, String account, Map<String, String> owners) {
    String owner = owners.putIfAbsent(value, account);
    if (owner != null && !owner.equals(account)) {
      error(path, description + " \"" + value + "\" belongs to client account \"" + owner + '"');
    }
  }

  private void error(String path, String message) {
    errors.add(new ConfigurationError(path, message));
  }

  private static String path(String section, String name, String key) {
    return ConfigurationTrees.child(ConfigurationTrees.child(section, name), key);
  }
}
