package org.hibiscusreel.coordination.port;

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

/** Handles calls from other daemons. All methods are called on the event loop. */
public interface PeerHandler {

  /** Handles a probe. */
  CompletableFuture<ProbeResponse> probe(ProbeRequest request);

  /** Handles a request to probe a third member. */
  CompletableFuture<ProbeIndirectResponse> probeIndirect(ProbeIndirectRequest request);

  /** Handles a reservation of tokens. */
  CompletableFuture<ReserveResponse> reserve(ReserveRequest request);

  /** Handles settlements of reservations. */
  CompletableFuture<SettleResponse> settle(SettleRequest request);

  /** Handles a request to return surplus tokens. */
  CompletableFuture<ReleaseResponse> release(ReleaseRequest request);

  /** Handles the offer of an allotment ledger by a stopping holder. */
  CompletableFuture<HandOverResponse> handOver(HandOverRequest request);

  /** Handles a request for the newest configuration. */
  CompletableFuture<FetchConfigurationResponse> fetchConfiguration(
      FetchConfigurationRequest request);

  /** Handles the fingerprints of requests that were running at crashed upstreams. */
  CompletableFuture<CrashReportResponse> reportCrashes(CrashReport request);

  /** Handles a look-up of a request. */
  CompletableFuture<LookUpRequestResponse> lookUpRequest(LookUpRequestRequest request);

  /** Handles copies of bills to be kept for another daemon. */
  CompletableFuture<KeepBillsResponse> keepBills(KeepBillsRequest request);
}
