package org.hibiscusreel.bench.standin;

import com.beust.jcommander.Parameter;
import java.net.InetSocketAddress;
import java.util.List;

/** Command-line settings of a stand-in process. */
public final class StandInSettings {

  @Parameter(
      names = "--role",
      required = true,
      description = "table, objects, hosts, engine or service; several separated by commas")
  List<String> roles = List.of();

  @Parameter(names = "--listen", required = true, description = "IP address and port")
  String listen = "";

  @Parameter(names = "--seed", description = "seed of all random choices")
  long seed = 1;

  @Parameter(names = "--writes-per-second", description = "table transactions; 0 is unlimited")
  int writesPerSecond = 400;

  @Parameter(names = "--reads-per-second", description = "table reads and scans; 0 is unlimited")
  int readsPerSecond = 2000;

  @Parameter(
      names = "--hosts-lag-ms",
      description = "delay of changes of the host list in milliseconds")
  int hostsLagMs = 1000;

  @Parameter(names = "--capacity", description = "number of concurrent generations")
  int capacity = 64;

  @Parameter(names = "--queue", description = "number of generations that can be queued")
  int queue = 256;

  @Parameter(
      names = "--step-ms",
      description = "time per token of all running generations in milliseconds")
  int stepMs = 10;

  @Parameter(
      names = "--prefill-ms",
      description = "fixed time before the first token in milliseconds")
  int prefillMs = 20;

  @Parameter(
      names = "--prefill-us-per-token",
      description = "time per uncached prompt token in microseconds")
  int prefillUsPerToken = 100;

  @Parameter(names = "--cache-blocks", description = "capacity of the cache in prefix blocks")
  int cacheBlocks = 512;

  @Parameter(names = "--cache-event-lag-ms", description = "delay of cache events in milliseconds")
  int cacheEventLagMs = 200;

  @Parameter(names = "--cache-event-gap", description = "probability that a cache event is lost")
  double cacheEventGap = 0;

  @Parameter(names = "--load-lag-ms", description = "age of the load report in milliseconds")
  int loadLagMs = 200;

  @Parameter(
      names = "--abort-ms",
      description = "time until a stream without a reader is aborted, in milliseconds")
  int abortMs = 10_000;

  @Parameter(names = "--ignore-fencing", description = "accept orders with any fencing number")
  boolean ignoreFencing;

  @Parameter(
      names = "--service-ms",
      description = "duration of a call of the plain service in milliseconds")
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
