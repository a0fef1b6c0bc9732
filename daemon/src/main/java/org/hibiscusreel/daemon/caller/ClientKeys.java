package org.hibiscusreel.daemon.caller;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.core.config.ClientAccount;
import org.hibiscusreel.core.config.Configuration;

/** Finds the client account of a client key by the SHA-256 digests in the configuration. */
final class ClientKeys {

  private Map<String, ClientAccount> byDigest = Map.of();

  ClientKeys(ConfigurationView view) {
    view.addListener(this::onConfiguration);
  }

  /** Returns the client account of a key, or empty if the key is not valid. */
  Optional<ClientAccount> find(String key) {
    return Optional.ofNullable(byDigest.get(CanonicalJson.sha256(key)));
  }

  private void onConfiguration(Configuration configuration) {
    Map<String, ClientAccount> accounts = new HashMap<>();
    for (ClientAccount account : configuration.accounts().values()) {
      for (String digest : account.keyDigests()) {
        accounts.put(digest.toLowerCase(Locale.ROOT), account);
      }
    }
    byDigest = accounts;
  }
}
