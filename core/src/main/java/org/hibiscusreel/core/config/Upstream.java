package org.hibiscusreel.core.config;

import java.util.List;

/**
 * Configured upstream: a model engine or an instance of a plain service.
 *
 * @param name unique name
 * @param kind engine or plain service
 * @param address IP address and port
 * @param failureDomain failure domain of the upstream
 * @param site site of the upstream
 * @param serves names of the models, or of the single plain service, that it serves
 * @param maxConcurrent maximum number of requests in progress of one daemon there
 * @param checksFencing whether it rejects commands with an outdated fencing number
 * @param leaving whether operators are draining it
 */
public record Upstream(
    String name,
    UpstreamKind kind,
    String address,
    String failureDomain,
    String site,
    List<String> serves,
    int maxConcurrent,
    boolean checksFencing,
    boolean leaving) {

  /** Copies the list. */
  public Upstream {
    serves = List.copyOf(serves);
  }
}
