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

/** Commands of the group {@code accounts}. */
public final class AccountCommands {

  private static final int KEY_BYTES = 32;
  private static final String KEY_PREFIX = "hr_";

  private AccountCommands() {}

  /** Lists the client accounts. */
  @Parameters(commandDescription = "List the client accounts of the current configuration")
  public static final class ListAccounts extends Command {

    @Override
    public int run(CommandContext context) {
      PublishedConfigurations published = new PublishedConfigurations(context);
      ConfigurationHead head = published.readHead();
      if (head.version() == 0) {
        context.printMessage("no configuration has been published");
        return ExitCodes.FAILURE;
      }
      ConfigurationCompiler.Result result =
          ConfigurationCompiler.compile(published.readBody(head.digest()), head.version());
      if (!(result instanceof ConfigurationCompiler.Result.Compiled compiled)) {
        context.printMessage("version " + head.version() + " of the configuration is invalid");
        return ExitCodes.FAILURE;
      }
      Map<String, TreeSet<String>> sites = new TreeMap<>();
      Map<String, ClientAccount> accounts = new TreeMap<>();
      compiled
          .bySite()
          .forEach(
              (site, configuration) ->
                  configuration
                      .accounts()
                      .forEach(
                          (id, account) -> {
                            accounts.put(id, account);
                            sites.computeIfAbsent(id, key -> new TreeSet<>()).add(site);
                          }));
      accounts.forEach(
          (id, account) ->
              context.print(
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

  /** Generates a client key. */
  @Parameters(
      commandDescription = "Generate a client key and print it with its digest; nothing is stored")
  public static final class NewKey extends Command {

    @Override
    public int run(CommandContext context) {
      byte[] bytes = new byte[KEY_BYTES];
      new SecureRandom().nextBytes(bytes);
      String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
      context.print("key = " + key);
      context.print(
          "key_sha256 = " + ConfigurationBody.digest(key.getBytes(StandardCharsets.US_ASCII)));
      return ExitCodes.OK;
    }
  }
}
