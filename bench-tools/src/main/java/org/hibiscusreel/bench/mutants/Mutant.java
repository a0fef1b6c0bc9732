package org.hibiscusreel.bench.mutants;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.hibiscusreel.bench.check.Violation.Invariant;
import org.hibiscusreel.bench.sim.NodeFactory;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.claim.ClaimResult;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDecorators;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.request.RequestKey;

/** Injected defects, each with the invariant that it violates. */
enum Mutant {
  /** Allotments are reclaimed after a timeout, without a proof of death. */
  RECLAIM_BY_TIMEOUT(Invariant.OVERSPEND),
  /** A claim that another attempt holds is taken over and its call dispatched again. */
  SECOND_DISPATCH(Invariant.RUN_TWICE),
  /** Bills are deduplicated by reservation instead of by request. */
  BILL_PER_RESERVATION(Invariant.BILLED_TWICE),
  /** A write with an unknown outcome is repeated without reading back its effect. */
  WRITE_NOT_READ_BACK(Invariant.OVERSPEND),
  /** An earlier version of the configuration is accepted. */
  STALE_CONFIGURATION(Invariant.CONFIGURATION_REVERTED),
  /** A truncated answer is reported as complete. */
  TRUNCATED_ANSWER(Invariant.INCOMPLETE_ANSWER);

  /** Time after accepting a version from which the preceding one is returned. */
  private static final long STALE_FROM_MILLIS = 5_000;

  /** Time after accepting a version until which the preceding one is returned. */
  private static final long STALE_UNTIL_MILLIS = 10_000;

  private final Invariant invariant;

  Mutant(Invariant invariant) {
    this.invariant = invariant;
  }

  /** Returns the invariant that the defect violates. */
  Invariant invariant() {
    return invariant;
  }

  /** Returns a factory of daemons with the defect. */
  NodeFactory factory() {
    return switch (this) {
      case RECLAIM_BY_TIMEOUT ->
          (settings, ports) -> {
            new TimeoutReclaimer(settings, ports).start();
            return new CoordinationNode(settings, ports);
          };
      case SECOND_DISPATCH -> withDecorators(p -> withClaims(SecondDispatch::new));
      case BILL_PER_RESERVATION -> withTable(DefectiveTable::billPerReservation);
      case WRITE_NOT_READ_BACK -> withTable(DefectiveTable::resendUnconditionally);
      case STALE_CONFIGURATION -> withDecorators(p -> withConfiguration(p.scheduler()));
      case TRUNCATED_ANSWER ->
          (settings, p) ->
              new CoordinationNode(
                  settings, replacePorts(p, p.table(), new TruncatingEngineClient(p.engines())));
    };
  }

  private static NodeFactory withDecorators(Function<NodeDependencies, NodeDecorators> decorators) {
    return (settings, ports) -> new CoordinationNode(settings, ports, decorators.apply(ports));
  }

  private static NodeFactory withTable(DefectiveTable.TransactionDefect defect) {
    return (settings, p) ->
        new CoordinationNode(
            settings, replacePorts(p, new DefectiveTable(p.table(), defect), p.engines()));
  }

  private static NodeDependencies replacePorts(
      NodeDependencies p, TableService table, EngineClient engines) {
    return new NodeDependencies(
        p.scheduler(),
        table,
        p.objects(),
        p.hosts(),
        p.peers(),
        engines,
        p.services(),
        p.events(),
        p.random());
  }

  private static NodeDecorators withClaims(UnaryOperator<Claims> claims) {
    NodeDecorators none = NodeDecorators.none();
    return new NodeDecorators(none.budgets(), none.billing(), claims, none.configuration());
  }

  private static NodeDecorators withConfiguration(Scheduler scheduler) {
    NodeDecorators none = NodeDecorators.none();
    return new NodeDecorators(
        none.budgets(),
        none.billing(),
        none.claims(),
        view -> new StaleConfigurationView(view, scheduler));
  }

  /** Claims that take over a claim held by another attempt. */
  private record SecondDispatch(Claims delegate) implements Claims {

    @Override
    public CompletableFuture<ClaimResult> claim(
        RequestKey key, String fingerprint, long waitMillis) {
      return delegate.claim(key, fingerprint, waitMillis).thenApply(r -> takeOver(key, r));
    }

    private static ClaimResult takeOver(RequestKey key, ClaimResult result) {
      if (result instanceof ClaimResult.Taken t && t.row().state() == ClaimState.CLAIMED) {
        ClaimRow row = t.row();
        return new ClaimResult.Held(new Claim(key, row.nonce(), row.fingerprint(), 1));
      }
      return result;
    }

    @Override
    public CompletableFuture<Boolean> withdraw(Claim claim) {
      return delegate.withdraw(claim);
    }

    @Override
    public void finish(Claim claim, int status, String contentType, byte[] body) {
      delegate.finish(claim, status, contentType, body);
    }

    @Override
    public CompletableFuture<LookUp> lookUp(RequestKey key) {
      return delegate.lookUp(key);
    }
  }

  /** View that returns the preceding configuration for some seconds, as if a peer sent it late. */
  private static final class StaleConfigurationView implements ConfigurationView {

    private final ConfigurationView delegate;
    private final Scheduler scheduler;
    private final List<Configuration> acceptedVersions = new ArrayList<>();
    private long acceptedAt;

    StaleConfigurationView(ConfigurationView delegate, Scheduler scheduler) {
      this.delegate = delegate;
      this.scheduler = scheduler;
      delegate.addListener(
          c -> {
            acceptedVersions.add(c);
            acceptedAt = scheduler.nowMillis();
          });
    }

    @Override
    public Optional<Configuration> current() {
      long age = scheduler.nowMillis() - acceptedAt;
      boolean isStale = age >= STALE_FROM_MILLIS && age < STALE_UNTIL_MILLIS;
      return isStale && acceptedVersions.size() > 1
          ? Optional.of(acceptedVersions.get(acceptedVersions.size() - 2))
          : delegate.current();
    }

    @Override
    public void addListener(Consumer<Configuration> listener) {
      delegate.addListener(listener);
    }
  }
}
