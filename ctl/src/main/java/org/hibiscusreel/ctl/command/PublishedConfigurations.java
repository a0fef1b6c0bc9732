package org.hibiscusreel.ctl.command;

import java.util.Optional;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.config.ConfigurationVersion;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.ObjectStore;

/** Reads published configurations from the platform. */
final class PublishedConfigurations {

  private final CommandContext context;

  PublishedConfigurations(CommandContext context) {
    this.context = context;
  }

  /** Reads the current head; its version is 0 if no configuration has been published. */
  ConfigurationHead readHead() {
    return context
        .read(TableKeys.CONFIG_HEAD)
        .map(row -> Json.read(row.value(), ConfigurationHead.class))
        .orElse(new ConfigurationHead(0, ""));
  }

  /** Reads the metadata of a version, or returns empty if the version does not exist. */
  Optional<ConfigurationVersion> readVersion(long version) {
    return context
        .read(TableKeys.configVersion(version))
        .map(row -> Json.read(row.value(), ConfigurationVersion.class));
  }

  /** Reads the body of a version, or returns empty if the version does not exist. */
  Optional<ConfigurationBody> readBodyOfVersion(long version) {
    return readVersion(version).map(found -> readBody(found.digest()));
  }

  /** Reads the body with a digest; throws {@link CommandException} if it is missing or corrupt. */
  ConfigurationBody readBody(String digest) {
    ObjectStore.GetResult result =
        context.await(context.platform().objects().get(ConfigurationBody.objectKey(digest)));
    if (result instanceof ObjectStore.GetResult.Failed failed) {
      throw CommandException.platformUnreachable(failed.reason());
    }
    if (result instanceof ObjectStore.GetResult.Found found
        && ConfigurationBody.digest(found.body()).equals(digest)) {
      Optional<ConfigurationBody> body = ConfigurationBody.fromBytes(found.body());
      if (body.isPresent()) {
        return body.get();
      }
    }
    throw new CommandException(
        ExitCodes.FAILURE, "the configuration object " + digest + " is missing or corrupt");
  }
}
