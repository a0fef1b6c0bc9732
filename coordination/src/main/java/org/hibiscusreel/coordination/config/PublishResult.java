package org.hibiscusreel.coordination.config;

import java.util.List;

/** Outcome of publishing a configuration. */
public sealed interface PublishResult {

  /**
   * The configuration is published.
   *
   * @param version the new version
   * @param digest digest of its body
   */
  record Published(long version, String digest) implements PublishResult {}

  /**
   * The configuration is not valid; nothing was written.
   *
   * @param errors all faults
   */
  record Invalid(List<String> errors) implements PublishResult {}

  /**
   * Another version was published meanwhile; nothing of it was changed.
   *
   * @param head the version that is in force
   */
  record Conflict(ConfigurationHead head) implements PublishResult {}

  /**
   * The platform could not be reached; the configuration was certainly not published.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements PublishResult {}

  /**
   * The answers of the platform were lost; the configuration may have been published.
   *
   * @param version version that it has in this case
   * @param reason what happened
   */
  record Unknown(long version, String reason) implements PublishResult {}
}
