package org.hibiscusreel.coordination.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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

/**
 * Calls to other daemons. A future completes on the event loop with the response, or empty if no
 * response came within the timeout; the call may still have taken effect at the peer.
 */
public interface PeerTransport {

  /** Probes a peer. */
  CompletableFuture<Optional<ProbeResponse>> probe(
      String address, ProbeRequest request, long timeoutMillis);

  /** Asks a peer to probe a third member. */
  CompletableFuture<Optional<ProbeIndirectResponse>> probeIndirect(
      String address, ProbeIndirectRequest request, long timeoutMillis);

  /** Reserves tokens at a holder. */
  CompletableFuture<Optional<ReserveResponse>> reserve(
      String address, ReserveRequest request, long timeoutMillis);

  /** Settles reservations at a holder. */
  CompletableFuture<Optional<SettleResponse>> settle(
      String address, SettleRequest request, long timeoutMillis);

  /** Asks a holder to return surplus tokens to the platform. */
  CompletableFuture<Optional<ReleaseResponse>> release(
      String address, ReleaseRequest request, long timeoutMillis);

  /** Offers the allotment ledger of a stopping holder to a peer. */
  CompletableFuture<Optional<HandOverResponse>> handOver(
      String address, HandOverRequest request, long timeoutMillis);

  /** Fetches the newest configuration of a peer. */
  CompletableFuture<Optional<FetchConfigurationResponse>> fetchConfiguration(
      String address, FetchConfigurationRequest request, long timeoutMillis);

  /** Reports the fingerprints of requests that were running at crashed upstreams. */
  CompletableFuture<Optional<CrashReportResponse>> reportCrashes(
      String address, CrashReport request, long timeoutMillis);

  /** Looks up a request at a peer. */
  CompletableFuture<Optional<LookUpRequestResponse>> lookUpRequest(
      String address, LookUpRequestRequest request, long timeoutMillis);

  /** Sends copies of bills to a peer that keeps them. */
  CompletableFuture<Optional<KeepBillsResponse>> keepBills(
      String address, KeepBillsRequest request, long timeoutMillis);
}
