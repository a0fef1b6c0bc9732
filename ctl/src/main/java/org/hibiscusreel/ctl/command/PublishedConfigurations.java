package org.hibiscusreel.ctl.command;

import java.util.Optional;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.config.ConfigurationVersion;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.ObjectStore;

/** Reads published configurations. */
final class PublishedConfigurations {

  private final Session session;

  PublishedConfigurations(Session session) {
    this.session = session;
  }

  /** Returns the head; version 0 if nothing was published. */
  ConfigurationHead head() {
    return session
        .read(TableKeys.CONFIG_HEAD)
        .map(row -> Json.read(row.value(), ConfigurationHead.class))
        .orElse(new ConfigurationHead(0, ""));
  }

  /** Returns who published a version, or empty if it does not exist. */
  Optional<ConfigurationVersion> version(long version) {
    return session
        .read(TableKeys.configVersion(version))
        .map(row -> Json.read(row.value(), ConfigurationVersion.class));
  }

  /** Returns the body of a version, or empty if the version does not exist. */
  Optional<ConfigurationBody> bodyOf(long version) {
    return version(version).map(found -> body(found.digest()));
  }

  /** Returns a body; fails if it is missing or damaged. */
  ConfigurationBody body(String digest) {
    ObjectStore.GetResult result =
        session.await(session.platform().objects().get(ConfigurationBody.objectKey(digest)));
    if (result instanceof ObjectStore.GetResult.Failed failed) {
      throw CommandFailure.unreachable(failed.reason());
    }
    if (result instanceof ObjectStore.GetResult.Found found
        && ConfigurationBody.digest(found.body()).equals(digest)) {
      Optional<ConfigurationBody> body = ConfigurationBody.fromBytes(found.body());
      if (body.isPresent()) {
        return body.get();
      }
    }
    throw new CommandFailure(
        ExitCodes.NEGATIVE, "the configuration object " + digest + " is missing or damaged");
  }
}
