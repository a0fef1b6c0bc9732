package org.hibiscusreel.bench.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.wire.CrashReport;
import org.hibiscusreel.wire.CrashReportResponse;
import org.hibiscusreel.wire.FetchConfigurationRequest;
import org.hibiscusreel.wire.FetchConfigurationResponse;
import org.hibiscusreel.wire.HandOverRequest;
import org.hibiscusreel.wire.HandOverResponse;
import org.hibiscusreel.wire.KeepBillsRequest;
import org.hibiscusreel.wire.KeepBillsResponse;
import org.hibiscusreel.wire.LookUpRequestRequest;
import org.hibiscusreel.wire.LookUpRequestResponse;
import org.hibiscusreel.wire.ProbeIndirectRequest;
import org.hibiscusreel.wire.ProbeIndirectResponse;
import org.hibiscusreel.wire.ProbeRequest;
import org.hibiscusreel.wire.ProbeResponse;
import org.hibiscusreel.wire.ReleaseRequest;
import org.hibiscusreel.wire.ReleaseResponse;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.hibiscusreel.wire.SettleRequest;
import org.hibiscusreel.wire.SettleResponse;

/** Simulated network that delivers calls between daemons. */
public final class FakePeers {

  private final VirtualTime time;
  private final Links links;
  private final Map<String, Peer> peers = new HashMap<>();
  private long callCount;

  /**
   * Creates a network without daemons.
   *
   * @param time the virtual clock
   * @param links links between the failure domains
   */
  public FakePeers(VirtualTime time, Links links) {
    this.time = time;
    this.links = links;
  }

  /**
   * Registers a daemon, replacing an earlier one at the same address.
   *
   * @param address IP address and port
   * @param process process of the daemon
   * @param domain failure domain of the daemon
   * @param handler supplies the handler of incoming calls
   */
  public void listen(
      String address, SimulatedProcess process, String domain, Supplier<PeerHandler> handler) {
    peers.put(address, new Peer(process, domain, handler));
  }

  /** Returns the number of calls sent so far. */
  public long callCount() {
    return callCount;
  }

  /**
   * Returns the transport of one daemon.
   *
   * @param process process of the daemon
   * @param domain failure domain of the daemon
   * @return the transport
   */
  public PeerTransport transport(SimulatedProcess process, String domain) {
    return new Transport(process, domain);
  }

  private record Peer(SimulatedProcess process, String domain, Supplier<PeerHandler> handler) {}

  private final class Transport implements PeerTransport {

    private final SimulatedProcess process;
    private final String domain;

    Transport(SimulatedProcess process, String domain) {
      this.process = process;
      this.domain = domain;
    }

    private <Q, R> CompletableFuture<Optional<R>> call(
        String address,
        Q request,
        long timeoutMillis,
        BiFunction<PeerHandler, Q, CompletableFuture<R>> method) {
      CompletableFuture<Optional<R>> future = new CompletableFuture<>();
      callCount++;
      time.schedule(timeoutMillis, () -> process.deliver(() -> future.complete(Optional.empty())));
      time.schedule(
          links.delayMillis(),
          () -> {
            Peer peer = peers.get(address);
            if (peer != null && !links.isCut(domain, peer.domain)) {
              peer.process.deliver(
                  () ->
                      respondWhenComplete(peer, future, method.apply(peer.handler.get(), request)));
            }
          });
      return future;
    }

    private <R> void respondWhenComplete(
        Peer peer, CompletableFuture<Optional<R>> future, CompletableFuture<R> response) {
      var unused = response.thenAccept(r -> sendResponse(peer, future, r));
    }

    private <R> void sendResponse(Peer from, CompletableFuture<Optional<R>> future, R response) {
      time.schedule(
          links.delayMillis(),
          () -> {
            if (!links.isCut(domain, from.domain)) {
              process.deliver(() -> future.complete(Optional.of(response)));
            }
          });
    }

    @Override
    public CompletableFuture<Optional<ProbeResponse>> probe(
        String address, ProbeRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::probe);
    }

    @Override
    public CompletableFuture<Optional<ProbeIndirectResponse>> probeIndirect(
        String address, ProbeIndirectRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::probeIndirect);
    }

    @Override
    public CompletableFuture<Optional<ReserveResponse>> reserve(
        String address, ReserveRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::reserve);
    }

    @Override
    public CompletableFuture<Optional<SettleResponse>> settle(
        String address, SettleRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::settle);
    }

    @Override
    public CompletableFuture<Optional<ReleaseResponse>> release(
        String address, ReleaseRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::release);
    }

    @Override
    public CompletableFuture<Optional<HandOverResponse>> handOver(
        String address, HandOverRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::handOver);
    }

    @Override
    public CompletableFuture<Optional<FetchConfigurationResponse>> fetchConfiguration(
        String address, FetchConfigurationRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::fetchConfiguration);
    }

    @Override
    public CompletableFuture<Optional<CrashReportResponse>> reportCrashes(
        String address, CrashReport request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::reportCrashes);
    }

    @Override
    public CompletableFuture<Optional<KeepBillsResponse>> keepBills(
        String address, KeepBillsRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::keepBills);
    }

    @Override
    public CompletableFuture<Optional<LookUpRequestResponse>> lookUpRequest(
        String address, LookUpRequestRequest request, long timeoutMillis) {
      return call(address, request, timeoutMillis, PeerHandler::lookUpRequest);
    }
  }
}
