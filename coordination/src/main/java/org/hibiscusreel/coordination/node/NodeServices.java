package org.hibiscusreel.coordination.node;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.membership.MembershipService;
import org.hibiscusreel.coordination.membership.PeerVersionListener;
import org.hibiscusreel.coordination.request.OutcomeListener;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.wire.FetchConfigurationRequest;
import org.hibiscusreel.wire.FetchConfigurationResponse;
import org.hibiscusreel.wire.HandOverRequest;
import org.hibiscusreel.wire.HandOverResponse;
import org.hibiscusreel.wire.KeepBillsRequest;
import org.hibiscusreel.wire.KeepBillsResponse;
import org.hibiscusreel.wire.ReleaseRequest;
import org.hibiscusreel.wire.ReleaseResponse;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.hibiscusreel.wire.SettleRequest;
import org.hibiscusreel.wire.SettleResponse;

/** Services of a node that depend on the platform. */
interface NodeServices {
  /** Creates the services of a node. */
  @FunctionalInterface
  interface Factory {
    NodeServices create(
        NodeSettings settings,
        NodeDependencies ports,
        EventRecorder recorder,
        MembershipService membership);
  }

  BudgetReservations budgets();

  Billing billing();

  Claims claims();

  ConfigurationView configuration();

  PeerVersionListener versionListener();

  OutcomeListener outcomeListener();

  long configurationVersion();

  int billsBuffered();

  long tokensHeld();

  /** Returns whether the incarnation is registered; it can't reserve tokens before. */
  boolean isRegistered();

  void start();

  /** Writes buffered bills, outcomes of claims and counters. */
  CompletableFuture<Void> flush();

  /** Returns the allotments, or hands them over. */
  CompletableFuture<Void> returnAllotments();

  /** Marks the incarnation closed and stops following the configuration. */
  CompletableFuture<Void> close();

  CompletableFuture<ReserveResponse> reserve(ReserveRequest request);

  CompletableFuture<SettleResponse> settle(SettleRequest request);

  CompletableFuture<ReleaseResponse> release(ReleaseRequest request);

  CompletableFuture<HandOverResponse> handOver(HandOverRequest request);

  CompletableFuture<FetchConfigurationResponse> fetchConfiguration(
      FetchConfigurationRequest request);

  KeepBillsResponse keepBills(KeepBillsRequest request);
}
