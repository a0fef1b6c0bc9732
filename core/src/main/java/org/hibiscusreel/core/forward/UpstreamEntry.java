package org.hibiscusreel.core.forward;

/**
 * What an upstream says of itself.
 *
 * @param id identity of one run of the upstream, mostly new at each start
 * @param service service that it runs
 * @param address IP number and port
 * @param failureDomain failure domain
 * @param leaving whether it will end soon and takes no new requests
 * @param slots requests that it runs at once
 * @param bornMillis wall-clock time of its start in milliseconds since the epoch
 */
public record UpstreamEntry(
    String id,
    String service,
    String address,
    String failureDomain,
    boolean leaving,
    int slots,
    long bornMillis) {}
