package org.hibiscusreel.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {

  private static final String VALID =
      String.join(
          "\n",
          List.of(
              "[host]",
              "name = \"cr-a-1\"",
              "failure_domain = \"cr-a\"",
              "site = \"costa-rica\"",
              "[listen]",
              "callers = \"127.0.0.1:8080\"",
              "admin = \"127.0.0.1:8081\"",
              "peers = \"127.0.0.1:8082\"",
              "[platform]",
              "table = \"http://127.0.0.1:9000\"",
              "objects = \"http://127.0.0.1:9000\"",
              "hosts = \"http://127.0.0.1:9000\"",
              "[peers]",
              "seeds = [\"127.0.0.1:8182\"]",
              "[limits]",
              "max_body_bytes = 1048576",
              "max_buffered_bills = 20000",
              "max_connections = 12000",
              "drain_timeout_ms = 30000",
              "[log]",
              "level = \"INFO\""));

  @Test
  void readsValidSettings() throws Exception {
    DaemonSettings s = SettingsReader.parse("host.toml", VALID);

    assertThat(s.host()).isEqualTo(new DaemonSettings.Host("cr-a-1", "cr-a", "costa-rica"));
    assertThat(s.listen().peers().getPort()).isEqualTo(8082);
    assertThat(s.limits().drainTimeoutMs()).isEqualTo(30000);
    assertThat(s.callerTls()).isEmpty();
  }

  /** Guards against a fault that is accepted, or reported at another line or key. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "name = \"cr-a-1\"|nmae = \"cr-a-1\"|2|host.nmae|unknown",
        "name = \"cr-a-1\"|name = 5|2|host.name|type",
        "name = \"cr-a-1\"|name = \"\"|2|host.name|empty",
        "site = \"costa-rica\"|# none|1|host.site|missing",
        "[log]~level = \"INFO\"|# none|0|log|missing",
        "level = \"INFO\"|level = \"LOUD\"|21|log.level|type",
        "max_body_bytes = 1048576|max_body_bytes = \"1\"|16|limits.max_body_bytes|type",
        "max_body_bytes = 1048576|max_body_bytes = 1.5|16|limits.max_body_bytes|type",
        "max_body_bytes = 1048576|max_body_bytes = 0|16|limits.max_body_bytes|positive",
        "drain_timeout_ms = 30000|drain_timeout_ms = true|19|limits.drain_timeout_ms|type",
        "[log]|max_head_bytes = 0~[log]|20|limits.max_head_bytes|positive",
        "[log]|head_memory_bytes = 0.5~[log]|20|limits.head_memory_bytes|type",
        "[log]|body_memory_bytes = -1~[log]|20|limits.body_memory_bytes|positive",
        "[log]|max_admin_connections = 0~[log]|20|limits.max_admin_connections|positive",
        "[log]|max_admin_head_bytes = true~[log]|20|limits.max_admin_head_bytes|type",
        "127.0.0.1:8081|localhost:8081|7|listen.admin|IP number",
        "127.0.0.1:8081|127.0.0.1:99999|7|listen.admin|IP number",
        "127.0.0.1:8182|127.0.0.1|14|peers.seeds|IP number",
        "table = \"http://127.0.0.1:9000\"|table = \"ftp://127.0.0.1:9000\"|10|platform.table|URL",
        "[log]|[logs]|20|logs|unknown",
        "[log]|[log|20||",
      })
  void reportsFileLineAndKey(String from, String to, int line, String key, String reason) {
    String text = VALID.replace(from.replace("~", "\n"), to.replace("~", "\n"));

    SettingsException e =
        catchThrowableOfType(
            SettingsException.class, () -> SettingsReader.parse("host.toml", text));

    assertThat(e).isNotNull();
    assertThat(e.line()).isEqualTo(line);
    assertThat(e.key()).isEqualTo(key == null ? "" : key);
    assertThat(e).hasMessageStartingWith("host.toml");
    assertThat(e).hasMessageContaining(reason == null ? "" : reason);
  }
}
