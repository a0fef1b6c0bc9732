package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameters;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationCompiler;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.core.config.ClientAccount;

/** The subcommands of {@code accounts}. */
public final class AccountCommands {

  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "hr_";

  private AccountCommands() {}

  /** Lists the client accounts. */
  @Parameters(commandDescription = "List the client accounts of the version in force")
  public static final class ListAccounts extends Command {

    @Override
    public int run(Session session) {
      PublishedConfigurations published = new PublishedConfigurations(session);
      ConfigurationHead head = published.head();
      if (head.version() == 0) {
        session.warn("nothing is published");
        return ExitCodes.NEGATIVE;
      }
      ConfigurationCompiler.Result result =
          ConfigurationCompiler.compile(published.body(head.digest()), head.version());
      if (!(result instanceof ConfigurationCompiler.Result.Compiled compiled)) {
        session.warn("version " + head.version() + " is not valid");
        return ExitCodes.NEGATIVE;
      }
      Map<String, TreeSet<String>> sites = new TreeMap<>();
      Map<String, ClientAccount> accounts = new TreeMap<>();
      compiled
          .bySite()
          .forEach(
              (site, c) ->
                  c.accounts()
                      .forEach(
                          (id, account) -> {
                            accounts.put(id, account);
                            sites.computeIfAbsent(id, key -> new TreeSet<>()).add(site);
                          }));
      accounts.forEach(
          (id, account) ->
              session.print(
                  id
                      + " budgets="
                      + String.join(",", account.budgets())
                      + " keys="
                      + account.keyDigests().size()
                      + " sites="
                      + String.join(",", sites.get(id))));
      return ExitCodes.OK;
    }
  }

  /** Makes a client key. */
  @Parameters(commandDescription = "Print a fresh client key and its digest; nothing is stored")
  public static final class NewKey extends Command {

    @Override
    public int run(Session session) {
      byte[] bytes = new byte[KEY_BYTES];
      new SecureRandom().nextBytes(bytes);
      String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
      session.print("key = " + key);
      session.print(
          "key_sha256 = " + ConfigurationBody.digest(key.getBytes(StandardCharsets.US_ASCII)));
      return ExitCodes.OK;
    }
  }
}
