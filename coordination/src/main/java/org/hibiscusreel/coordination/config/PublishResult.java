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
   * @param errors all errors
   */
  record Invalid(List<String> errors) implements PublishResult {}

  /**
   * Another version had been published in the meantime; it was left unchanged.
   *
   * @param head head of the version in force
   */
  record Conflict(ConfigurationHead head) implements PublishResult {}

  /**
   * The platform could not be reached; the configuration was not published.
   *
   * @param reason cause of the failure
   */
  record Unavailable(String reason) implements PublishResult {}

  /**
   * The responses of the platform were lost; the configuration may have been published.
   *
   * @param version version of the configuration if it was published
   * @param reason cause of the failure
   */
  record Unknown(long version, String reason) implements PublishResult {}
}
