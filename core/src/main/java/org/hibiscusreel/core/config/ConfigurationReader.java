package org.hibiscusreel.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts the merged configuration tree of one site to a {@link Configuration}. */
public final class ConfigurationReader {

  /** Default deadline of a request in milliseconds. */
  public static final long DEFAULT_DEADLINE_MILLIS = 30_000;

  /** Default token limit of a request. */
  public static final int DEFAULT_MAX_TOKENS = 512;

  /** Default maximum number of requests in progress of one daemon at an upstream. */
  public static final int DEFAULT_UPSTREAM_CONCURRENCY = 64;

  private static final long MAX_DEADLINE_MILLIS = 86_400_000;
  private static final double MAX_WORTH = 1e9;
  private static final int MAX_PRIORITY = 1_000;
  private static final int MAX_TOKENS = 10_000_000;
  private static final int MAX_CONCURRENT = 1_000_000;
  private static final double MAX_RATE = 1e6;
  private static final long MAX_COST_TOKENS = 1_000_000_000_000L;

  private final List<ConfigurationError> errors = new ArrayList<>();
  private ServingDefaults serving;

  private ConfigurationReader() {}

  /**
   * Reads and validates a tree.
   *
   * @param tree base with an overlay applied
   * @param version version of the configuration, positive
   * @return the configuration, or all errors by path
   * @throws NullPointerException if the tree is null
   */
  public static ConfigurationResult read(Map<String, Object> tree, long version) {
    return new ConfigurationReader().readTree(tree, version);
  }

  private ConfigurationResult readTree(Map<String, Object> tree, long version) {
    TableReader root = new TableReader("", tree, errors);
    serving = serving(root.table("serving"));
    Map<String, Site> sites = readEntries(root, "sites", this::site);
    Map<String, ModelSettings> models = readEntries(root, "models", this::model);
    Map<String, RequestClass> classes = readEntries(root, "classes", this::requestClass);
    Map<String, Upstream> upstreams = readEntries(root, "upstreams", this::upstream);
    Map<String, PlainService> services = readEntries(root, "services", this::service);
    Map<String, ClientAccount> accounts = readEntries(root, "accounts", this::account);
    root.finish();
    Configuration c =
        new Configuration(version, serving, sites, models, upstreams, services, classes, accounts);
    errors.addAll(ConfigurationReferences.check(c));
    return errors.isEmpty()
        ? new ConfigurationResult.Valid(c)
        : new ConfigurationResult.Invalid(errors);
  }

  private interface EntryReader<T> {
    T read(String name, TableReader table);
  }

  private static <T> Map<String, T> readEntries(
      TableReader root, String key, EntryReader<T> entryReader) {
    Map<String, T> entries = new LinkedHashMap<>();
    root.tables(key)
        .forEach(
            (name, table) -> {
              entries.put(name, entryReader.read(name, table));
              table.finish();
            });
    return entries;
  }

  private ServingDefaults serving(TableReader table) {
    ServingDefaults defaults =
        new ServingDefaults(
            deadline(table, DEFAULT_DEADLINE_MILLIS),
            worth(table, 1.0),
            priority(table, 0),
            (int) table.integer("max_tokens", 1, MAX_TOKENS, DEFAULT_MAX_TOKENS));
    table.finish();
    return defaults;
  }

  private Site site(String name, TableReader table) {
    return new Site(name, table.texts("failure_domains"));
  }

  private ModelSettings model(String name, TableReader table) {
    int maxTokens = (int) table.integer("max_tokens", 1, MAX_TOKENS, serving.maxTokens());
    return new ModelSettings(name, maxTokens, concurrency(table, 0, 0));
  }

  private RequestClass requestClass(String name, TableReader table) {
    return new RequestClass(
        name,
        worth(table, serving.worth()),
        deadline(table, serving.deadlineMillis()),
        priority(table, serving.priority()));
  }

  private Upstream upstream(String name, TableReader table) {
    UpstreamKind kind = kind(table);
    String address = table.text("address");
    if (!address.isEmpty() && !SocketAddresses.isIpAndPort(address)) {
      table.error("address", "must be an IP number and a port but is \"" + address + "\"");
    }
    return new Upstream(
        name,
        kind,
        address,
        table.text("failure_domain"),
        table.text("site"),
        table.texts("serves"),
        concurrency(table, 1, DEFAULT_UPSTREAM_CONCURRENCY),
        table.bool("checks_fencing", false),
        table.bool("leaving", false));
  }

  private UpstreamKind kind(TableReader table) {
    String kind = table.text("kind");
    if (!kind.isEmpty() && !kind.equals("engine") && !kind.equals("service")) {
      table.error("kind", "must be \"engine\" or \"service\" but is \"" + kind + "\"");
    }
    return kind.equals("service") ? UpstreamKind.SERVICE : UpstreamKind.ENGINE;
  }

  private PlainService service(String name, TableReader table) {
    if (!table.require("methods")) {
      return new PlainService(name, Map.of());
    }
    return new PlainService(name, readEntries(table, "methods", this::method));
  }

  private ServiceMethod method(String name, TableReader table) {
    // These keys have no default: a wrong value could run a signature request twice or leave a call
    // unbilled.
    table.require("repeatable");
    table.require("cost_tokens");
    return new ServiceMethod(
        name,
        table.bool("repeatable", false),
        table.integer("cost_tokens", 0, MAX_COST_TOKENS, 0),
        worth(table, serving.worth()),
        deadline(table, serving.deadlineMillis()));
  }

  private ClientAccount account(String name, TableReader table) {
    return new ClientAccount(
        name,
        table.texts("key_sha256"),
        table.texts("budgets"),
        concurrency(table, 0, 0),
        table.number("requests_per_second", 0, MAX_RATE, 0));
  }

  private static long deadline(TableReader table, long defaultValue) {
    return table.integer("deadline_ms", 1, MAX_DEADLINE_MILLIS, defaultValue);
  }

  private static double worth(TableReader table, double defaultValue) {
    return table.number("worth", 0, MAX_WORTH, defaultValue);
  }

  private static int priority(TableReader table, int defaultValue) {
    return (int) table.integer("priority", -MAX_PRIORITY, MAX_PRIORITY, defaultValue);
  }

  private static int concurrency(TableReader table, int min, int defaultValue) {
    return (int) table.integer("max_concurrent", min, MAX_CONCURRENT, defaultValue);
  }
}
