package org.hibiscusreel.coordination.node;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.membership.MembershipService;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.coordination.request.DefaultRequestService;
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

/** Dispatches the calls of other daemons to the services. */
final class NodePeerHandler implements PeerHandler {
  private final MembershipService membership;
  private final NodeServices services;
  private final DefaultRequestService requests;

  NodePeerHandler(
      MembershipService membership, NodeServices services, DefaultRequestService requests) {
    this.membership = membership;
    this.services = services;
    this.requests = requests;
  }

  @Override
  public CompletableFuture<ProbeResponse> probe(ProbeRequest request) {
    return membership.probe(request);
  }

  @Override
  public CompletableFuture<ProbeIndirectResponse> probeIndirect(ProbeIndirectRequest request) {
    return membership.probeIndirect(request);
  }

  @Override
  public CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
    return services.reserve(request);
  }

  @Override
  public CompletableFuture<SettleResponse> settle(SettleRequest request) {
    return services.settle(request);
  }

  @Override
  public CompletableFuture<ReleaseResponse> release(ReleaseRequest request) {
    return services.release(request);
  }

  @Override
  public CompletableFuture<HandOverResponse> handOver(HandOverRequest request) {
    return services.handOver(request);
  }

  @Override
  public CompletableFuture<FetchConfigurationResponse> fetchConfiguration(
      FetchConfigurationRequest request) {
    return services.fetchConfiguration(request);
  }

  @Override
  public CompletableFuture<CrashReportResponse> reportCrashes(CrashReport request) {
    return CompletableFuture.completedFuture(requests.reportCrashes(request));
  }

  @Override
  public CompletableFuture<LookUpRequestResponse> lookUpRequest(LookUpRequestRequest request) {
    return CompletableFuture.completedFuture(requests.lookUpRequest(request));
  }

  @Override
  public CompletableFuture<KeepBillsResponse> keepBills(KeepBillsRequest request) {
    return CompletableFuture.completedFuture(services.keepBills(request));
  }
}
