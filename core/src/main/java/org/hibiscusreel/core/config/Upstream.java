package org.hibiscusreel.core.config;

import java.util.List;

/**
 * An upstream: a model engine or an instance of a plain service.
 *
 * @param name unique name
 * @param kind engine or plain service
 * @param address IP number and port
 * @param failureDomain failure domain of the upstream
 * @param site site of the upstream
 * @param serves names of the models, or of the one plain service, that it serves
 * @param maxConcurrent requests in progress that one daemon may have there
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param leaving whether operators drain it
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
