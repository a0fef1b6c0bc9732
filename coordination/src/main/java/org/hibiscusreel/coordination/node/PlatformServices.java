package org.hibiscusreel.coordination.node;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.budget.AllotmentService;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.ClaimService;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationFollower;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.BillCopies;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.ledger.BillingService;
import org.hibiscusreel.coordination.ledger.PeerBillBackup;
import org.hibiscusreel.coordination.membership.MembershipService;
import org.hibiscusreel.coordination.membership.PeerVersionListener;
import org.hibiscusreel.coordination.recovery.RecoveryService;
import org.hibiscusreel.coordination.report.DayReporter;
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

/** Services of a node that depend on the platform's table service and object store. */
final class PlatformServices implements NodeServices {
  private final ConfigurationFollower configuration;
  private final AllotmentService budgets;
  private final BillingService billing;
  private final ClaimService claims;
  private final RecoveryService recovery;
  private final BillCopies billCopies;
  private final DayReporter reporter;
  private final OutcomeListener outcomes;
  private final BudgetReservations decoratedBudgets;
  private final Billing decoratedBilling;
  private final Claims decoratedClaims;
  private final ConfigurationView decoratedConfiguration;

  PlatformServices(
      NodeSettings settings,
      NodeDependencies ports,
      EventRecorder recorder,
      MembershipService membership,
      NodeDecorators decorators) {
    configuration =
        new ConfigurationFollower(
            ports.scheduler(),
            ports.table(),
            ports.objects(),
            ports.peers(),
            membership,
            recorder,
            settings.self().site(),
            settings.seeds(),
            ports.random());
    budgets =
        new AllotmentService(
            ports.scheduler(),
            ports.table(),
            ports.peers(),
            membership,
            configuration,
            recorder,
            ports.random(),
            settings.drainTimeoutMillis());
    decoratedBudgets = decorators.budgets().apply(budgets);
    billing =
        new BillingService(
            ports.scheduler(),
            ports.table(),
            decoratedBudgets,
            recorder,
            ports.random(),
            new PeerBillBackup(ports.peers(), membership, recorder),
            this::countDuplicate,
            settings.maxBufferedBills());
    decoratedBilling = decorators.billing().apply(billing);
    claims =
        new ClaimService(
            ports.scheduler(),
            ports.table(),
            recorder,
            ports.random(),
            settings.self().incarnation());
    decoratedClaims = decorators.claims().apply(claims);
    decoratedConfiguration = decorators.configuration().apply(configuration);
    billCopies =
        new BillCopies(
            ports.scheduler(),
            ports.table(),
            decoratedBudgets,
            decoratedBilling,
            recorder,
            settings.self().incarnation());
    reporter =
        new DayReporter(
            ports.scheduler(),
            ports.table(),
            settings.self().incarnation(),
            settings.self().site(),
            billing::pending);
    outcomes = new OutcomeCounter(reporter::counters, ports.scheduler()::wallMillis);
    recovery =
        new RecoveryService(
            ports.scheduler(),
            ports.table(),
            ports.hosts(),
            ports.engines(),
            membership,
            configuration,
            budgets,
            billing,
            recorder,
            ports.random(),
            settings.bootId(),
            !settings.bootId().isEmpty());
  }

  private void countDuplicate() {
    reporter.counters().alreadyBilled();
  }

  @Override
  public BudgetReservations budgets() {
    return decoratedBudgets;
  }

  @Override
  public Billing billing() {
    return decoratedBilling;
  }

  @Override
  public Claims claims() {
    return decoratedClaims;
  }

  @Override
  public ConfigurationView configuration() {
    return decoratedConfiguration;
  }

  @Override
  public PeerVersionListener versionListener() {
    return (peer, version) -> configuration.onPeerVersion(version, peer.peerAddress());
  }

  @Override
  public OutcomeListener outcomeListener() {
    return outcomes;
  }

  @Override
  public long configurationVersion() {
    return configuration.version();
  }

  @Override
  public int billsBuffered() {
    return billing.pending();
  }

  @Override
  public long tokensHeld() {
    return budgets.tokensHeld();
  }

  @Override
  public boolean isRegistered() {
    return budgets.isRegistered();
  }

  @Override
  public void start() {
    configuration.start();
    budgets.start();
    billing.start();
    recovery.start();
    billCopies.start();
    reporter.start();
  }

  @Override
  public CompletableFuture<Void> flush() {
    billCopies.stop();
    return CompletableFuture.allOf(billing.stop(), claims.stop())
        .thenCompose(done -> reporter.stop());
  }

  @Override
  public CompletableFuture<Void> returnAllotments() {
    return recovery.closeOrphanedReservations().thenCompose(done -> budgets.stop());
  }

  @Override
  public CompletableFuture<Void> close() {
    return recovery.stop().thenRun(configuration::stop);
  }

  @Override
  public CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
    return budgets.handleReserve(request);
  }

  @Override
  public CompletableFuture<SettleResponse> settle(SettleRequest request) {
    return budgets.handleSettle(request);
  }

  @Override
  public CompletableFuture<ReleaseResponse> release(ReleaseRequest request) {
    return budgets.handleRelease(request);
  }

  @Override
  public CompletableFuture<HandOverResponse> handOver(HandOverRequest request) {
    return budgets.handleHandOver(request);
  }

  @Override
  public CompletableFuture<FetchConfigurationResponse> fetchConfiguration(
      FetchConfigurationRequest request) {
    return configuration.fetchConfiguration(request);
  }

  @Override
  public KeepBillsResponse keepBills(KeepBillsRequest request) {
    return billCopies.handleKeepBills(request);
  }
}
