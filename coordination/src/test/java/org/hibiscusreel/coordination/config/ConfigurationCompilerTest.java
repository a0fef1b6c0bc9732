package org.hibiscusreel.coordination.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ConfigurationCompilerTest {

  private static final String BASE = "[sites.north]\nfailure_domains = [\"n-a\"]\n";

  @Test
  void appliesOverlayOfEachSite() {
    ConfigurationBody body =
        new ConfigurationBody(
            BASE + "[sites.south]\nfailure_domains = [\"s-a\"]\n",
            Map.of("south", "[serving]\nworth = 3.0\n"));

    var result = (ConfigurationCompiler.Result.Compiled) ConfigurationCompiler.compile(body, 4);

    assertThat(result.bySite().get("north").serving().worth()).isEqualTo(1.0);
    assertThat(result.bySite().get("south").serving().worth()).isEqualTo(3.0);
    assertThat(result.bySite().get("south").version()).isEqualTo(4);
  }

  /** Guards against an error message with the wrong file or line. */
  @Test
  void namesFileLineAndKey() {
    ConfigurationBody body =
        new ConfigurationBody(BASE, Map.of("north", "# note\n[serving]\n\nworth = -3\n"));

    assertThat(errors(body, Map.of("north", "north.toml")))
        .singleElement()
        .asString()
        .startsWith("north.toml:4: serving.worth: must be between");
  }

  @Test
  void namesLineOfMalformedToml() {
    assertThat(errors(new ConfigurationBody("a = 1\nb = = 2\n", Map.of()), Map.of()))
        .singleElement()
        .asString()
        .startsWith("base:2: ");
  }

  /** Guards against a misspelt site, whose overlay would never apply. */
  @Test
  void refusesOverlayOfUnknownSite() {
    assertThat(errors(new ConfigurationBody(BASE, Map.of("nort", "")), Map.of()))
        .singleElement()
        .asString()
        .contains("sites.nort");
  }

  @Test
  void readsBackWhatItWrites() {
    ConfigurationBody body = ConfigurationBodies.numbered(3);

    assertThat(ConfigurationBody.fromBytes(body.toBytes())).contains(body);
    assertThat(ConfigurationBody.fromBytes(new byte[] {'{'})).isEmpty();
    assertThat(ConfigurationBody.fromBytes("{}".getBytes(java.nio.charset.StandardCharsets.UTF_8)))
        .isEmpty();
  }

  @Test
  void showsDifferenceBySite() {
    var before = compiled(ConfigurationBodies.numbered(1));
    var after = compiled(ConfigurationBodies.numbered(2));

    assertThat(ConfigurationDifference.lines(before.trees(), after.trees()))
        .containsExactly("all sites: ~ serving.max_tokens = 1 -> 2");
  }

  private static ConfigurationCompiler.Result.Compiled compiled(ConfigurationBody body) {
    return (ConfigurationCompiler.Result.Compiled) ConfigurationCompiler.compile(body, 1);
  }

  private static List<String> errors(ConfigurationBody body, Map<String, String> names) {
    return ((ConfigurationCompiler.Result.Invalid) ConfigurationCompiler.compile(body, 1, names))
        .errors();
  }
}
