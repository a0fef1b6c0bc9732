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

/** Delivers calls between simulated daemons. */
public final class FakePeers {

  private final VirtualTime time;
  private final Links links;
  private final Map<String, Peer> peers = new HashMap<>();
  private long messages;

  /**
   * Creates an empty set of peers.
   *
   * @param time the virtual clock
   * @param links links between the failure domains
   */
  public FakePeers(VirtualTime time, Links links) {
    this.time = time;
    this.links = links;
  }

  /**
   * Makes a daemon reachable, replacing an earlier one at the same address.
   *
   * @param address IP number and port
   * @param scope its process
   * @param end its failure domain
   * @param handler answers its calls
   */
  public void listen(
      String address, ProcessScope scope, String end, Supplier<PeerHandler> handler) {
    peers.put(address, new Peer(scope, end, handler));
  }

  /** Returns the number of calls sent. */
  public long messages() {
    return messages;
  }

  /**
   * Returns the transport of one daemon.
   *
   * @param scope its process
   * @param end its failure domain
   * @return the transport
   */
  public PeerTransport transport(ProcessScope scope, String end) {
    return new Transport(scope, end);
  }

  private record Peer(ProcessScope scope, String end, Supplier<PeerHandler> handler) {}

  private final class Transport implements PeerTransport {

    private final ProcessScope scope;
    private final String end;

    Transport(ProcessScope scope, String end) {
      this.scope = scope;
      this.end = end;
    }

    private <Q, R> CompletableFuture<Optional<R>> call(
        String address,
        Q request,
        long timeoutMillis,
        BiFunction<PeerHandler, Q, CompletableFuture<R>> method) {
      CompletableFuture<Optional<R>> f = new CompletableFuture<>();
      messages++;
      time.schedule(timeoutMillis, () -> scope.deliver(() -> f.complete(Optional.empty())));
      time.schedule(
          links.delayMillis(),
          () -> {
            Peer p = peers.get(address);
            if (p != null && !links.isCut(end, p.end)) {
              p.scope.deliver(() -> handle(p, f, method.apply(p.handler.get(), request)));
            }
          });
      return f;
    }

    private <R> void handle(
        Peer p, CompletableFuture<Optional<R>> f, CompletableFuture<R> response) {
      var unused = response.thenAccept(r -> sendBack(p, f, r));
    }

    private <R> void sendBack(Peer from, CompletableFuture<Optional<R>> f, R response) {
      time.schedule(
          links.delayMillis(),
          () -> {
            if (!links.isCut(end, from.end)) {
              scope.deliver(() -> f.complete(Optional.of(response)));
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
