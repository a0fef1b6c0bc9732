package org.hibiscusreel.bench.standin;

import com.beust.jcommander.Parameter;
import java.net.InetSocketAddress;
import java.util.List;

/** Command-line settings of one stand-in process. */
public final class StandInSettings {

  @Parameter(
      names = "--role",
      required = true,
      description = "table, objects, hosts, engine or service; several separated by commas")
  List<String> roles = List.of();

  @Parameter(names = "--listen", required = true, description = "IP number and port")
  String listen = "";

  @Parameter(names = "--seed", description = "seed of all random choices")
  long seed = 1;

  @Parameter(names = "--writes-per-second", description = "table transactions; 0 is unlimited")
  int writesPerSecond = 400;

  @Parameter(names = "--reads-per-second", description = "table reads and scans; 0 is unlimited")
  int readsPerSecond = 2000;

  @Parameter(names = "--hosts-lag-ms", description = "delay of changes of the host list")
  int hostsLagMs = 1000;

  @Parameter(names = "--capacity", description = "generations that run at once")
  int capacity = 64;

  @Parameter(names = "--queue", description = "generations that may wait")
  int queue = 256;

  @Parameter(names = "--step-ms", description = "time of one token of all running generations")
  int stepMs = 10;

  @Parameter(names = "--prefill-ms", description = "fixed time before the first token")
  int prefillMs = 20;

  @Parameter(names = "--prefill-us-per-token", description = "time per uncached prompt token")
  int prefillUsPerToken = 100;

  @Parameter(names = "--cache-blocks", description = "prefix blocks that fit into the cache")
  int cacheBlocks = 512;

  @Parameter(names = "--cache-event-lag-ms", description = "delay of cache events")
  int cacheEventLagMs = 200;

  @Parameter(names = "--cache-event-gap", description = "probability that a cache event is lost")
  double cacheEventGap = 0;

  @Parameter(names = "--load-lag-ms", description = "age of the load report")
  int loadLagMs = 200;

  @Parameter(names = "--abort-ms", description = "time until a stream without reader is aborted")
  int abortMs = 10_000;

  @Parameter(names = "--ignore-fencing", description = "accept orders with any fencing number")
  boolean ignoreFencing;

  @Parameter(names = "--service-ms", description = "time of one run of the plain service")
  int serviceMs = 5;

  /** Returns the listen address. */
  InetSocketAddress address() {
    int colon = listen.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("--listen must be IP:PORT, but was " + listen);
    }
    return new InetSocketAddress(
        listen.substring(0, colon), Integer.parseInt(listen.substring(colon + 1)));
  }
}
