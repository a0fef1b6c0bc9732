package org.hibiscusreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationReaderTest {

  private static final String DIGEST_A = "a".repeat(64);
  private static final String DIGEST_B = "b".repeat(64);

  @Test
  void readsValuesAndDefaults() {
    ConfigurationResult result = ConfigurationReader.read(valid(), 7);

    assertThat(result).isInstanceOf(ConfigurationResult.Valid.class);
    Configuration c = ((ConfigurationResult.Valid) result).configuration();
    assertThat(c.version()).isEqualTo(7);
    assertThat(c.serving()).isEqualTo(new ServingDefaults(30_000, 2.0, 0, 512));
    assertThat(c.classes().get("sign-out"))
        .isEqualTo(new RequestClass("sign-out", 10.0, 30_000, 5));
    assertThat(c.upstreams().get("engine-1").maxConcurrent()).isEqualTo(64);
    assertThat(c.services().get("records").methods().get("sign"))
        .isEqualTo(new ServiceMethod("sign", false, 50, 2.0, 30_000));
    assertThat(c.accounts().get("lab").budgets()).containsExactly("lab-main");
  }

  /** Guards against an invalid value that is accepted or reported at another path. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "serving.deadline_ms | 0 | between 1 and",
        "serving.worth | -1 | between 0",
        "serving.worth | text | must be a number",
        "serving.priority | 1001 | between -1000 and 1000",
        "serving.max_tokens | 1.5 | whole number",
        "serving.colour | text | not a known key",
        "sites.north.failure_domains | [] | at least one",
        "models.writer.max_tokens | 0 | between 1",
        "classes.sign-out.deadline_ms | 86400001 | between 1 and 86400000",
        "upstreams.engine-1.kind | other | \"engine\" or \"service\"",
        "upstreams.engine-1.kind | null | is missing",
        "upstreams.engine-1.address | localhost:80 | IP number and a port",
        "upstreams.engine-1.address | 10.0.0.1 | IP number and a port",
        "upstreams.engine-1.site | south | does not exist",
        "upstreams.engine-1.failure_domain | n-z | no failure domain",
        "upstreams.engine-1.serves | [painter] | model \"painter\" does not exist",
        "upstreams.engine-1.max_concurrent | 0 | between 1",
        "upstreams.engine-1.leaving | 1 | true or false",
        "upstreams.store-1.serves | [shop] | plain service \"shop\" does not exist",
        "upstreams.store-1.serves | [records,records] | twice",
        "services.records.methods | null | is missing",
        "services.records.methods.sign.repeatable | null | is missing",
        "services.records.methods.sign.cost_tokens | null | is missing",
        "services.records.methods.sign.cost_tokens | -1 | between 0",
        "accounts.lab.key_sha256 | [abc] | not a SHA-256 digest",
        "accounts.lab.key_sha256 | null | is missing",
        "accounts.lab.budgets | [tour-main] | belongs to client account \"lab\"",
        "accounts.lab.requests_per_second | -0.5 | between 0",
        "extra | text | not a known key",
      })
  void reportsErrorAtItsPath(String path, String value, String message) {
    Map<String, Object> tree = valid();
    set(tree, path, value);

    List<ConfigurationError> errors = errors(tree);

    assertThat(errors).extracting(ConfigurationError::toString).anyMatch(e -> e.contains(message));
    String section = path.substring(0, Math.max(0, path.indexOf('.')));
    assertThat(errors).extracting(ConfigurationError::path).anyMatch(p -> p.startsWith(section));
  }

  /** Guards against a key shared by two client accounts, which would bill the wrong account. */
  @Test
  void rejectsDuplicateKeyDigest() {
    Map<String, Object> tree = valid();
    set(tree, "accounts.tour.key_sha256", "[" + DIGEST_A + "]");

    assertThat(errors(tree))
        .containsExactly(
            new ConfigurationError(
                "accounts.tour.key_sha256",
                "key digest \"" + DIGEST_A + "\" belongs to client account \"lab\""));
  }

  /** Guards against a failure domain that belongs to two sites. */
  @Test
  void rejectsFailureDomainOfTwoSites() {
    Map<String, Object> tree = valid();
    set(tree, "sites.south.failure_domains", "[n-a]");

    assertThat(errors(tree))
        .extracting(ConfigurationError::path)
        .containsExactly("sites.south.failure_domains");
  }

  /** Guards against a validation that stops at the first error. */
  @Test
  void reportsAllErrors() {
    Map<String, Object> tree = valid();
    set(tree, "serving.deadline_ms", "0");
    set(tree, "upstreams.engine-1.site", "south");
    set(tree, "accounts.lab.key_sha256", "[abc]");

    assertThat(errors(tree))
        .extracting(ConfigurationError::path)
        .containsExactlyInAnyOrder(
            "serving.deadline_ms", "upstreams.engine-1.site", "accounts.lab.key_sha256");
  }

  @Test
  void rejectsTreeWithoutSites() {
    assertThat(errors(Map.of())).extracting(ConfigurationError::path).containsExactly("sites");
  }

  private static List<ConfigurationError> errors(Map<String, Object> tree) {
    ConfigurationResult result = ConfigurationReader.read(tree, 1);
    assertThat(result).isInstanceOf(ConfigurationResult.Invalid.class);
    return ((ConfigurationResult.Invalid) result).errors();
  }

  private static Map<String, Object> valid() {
    Map<String, Object> tree = new LinkedHashMap<>();
    set(tree, "serving.worth", "2");
    set(tree, "sites.north.failure_domains", "[n-a,n-b]");
    set(tree, "models.writer.max_tokens", "4096");
    set(tree, "classes.sign-out.worth", "10.0");
    set(tree, "classes.sign-out.priority", "5");
    for (String name : List.of("engine-1", "store-1")) {
      String path = "upstreams." + name + ".";
      set(tree, path + "kind", name.startsWith("engine") ? "engine" : "service");
      set(tree, path + "address", "127.0.0.1:9101");
      set(tree, path + "failure_domain", "n-a");
      set(tree, path + "site", "north");
      set(tree, path + "serves", name.startsWith("engine") ? "[writer]" : "[records]");
    }
    set(tree, "services.records.methods.sign.repeatable", "false");
    set(tree, "services.records.methods.sign.cost_tokens", "50");
    set(tree, "accounts.lab.key_sha256", "[" + DIGEST_A + "]");
    set(tree, "accounts.lab.budgets", "[lab-main]");
    set(tree, "accounts.tour.key_sha256", "[" + DIGEST_B + "]");
    set(tree, "accounts.tour.budgets", "[tour-main]");
    return tree;
  }

  @SuppressWarnings("unchecked")
  private static void set(Map<String, Object> tree, String path, String value) {
    String[] keys = path.split("\\.", -1);
    Map<String, Object> table = tree;
    for (int i = 0; i < keys.length - 1; i++) {
      table = (Map<String, Object>) table.computeIfAbsent(keys[i], key -> new LinkedHashMap<>());
    }
    String last = keys[keys.length - 1];
    if (value.equals("null")) {
      table.remove(last);
    } else {
      table.put(last, toValue(value));
    }
  }

  private static Object toValue(String text) {
    if (text.equals("[]")) {
      return Collections.emptyList();
    }
    if (text.startsWith("[")) {
      return new ArrayList<>(List.of(text.substring(1, text.length() - 1).split(",", -1)));
    }
    if (text.equals("true") || text.equals("false")) {
      return Boolean.valueOf(text);
    }
    if (text.matches("-?[0-9]+")) {
      return Integer.valueOf(text);
    }
    return text.matches("-?[0-9]+\\.[0-9]+") ? (Object) Double.valueOf(text) : text;
  }
}
