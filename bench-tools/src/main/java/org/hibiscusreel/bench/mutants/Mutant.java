package org.hibiscusreel.bench.mutants;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.hibiscusreel.bench.check.Violation.Promise;
import org.hibiscusreel.bench.sim.NodeFactory;
import org.hibiscusreel.coordination.claim.Claim;
import org.hibiscusreel.coordination.claim.ClaimResult;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDecorators;
import org.hibiscusreel.coordination.node.NodePorts;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.request.RequestKey;

/** The deliberate faults, each with the promise that it breaks. */
enum Mutant {
  /** Allotments are reclaimed after a timeout, without a proof of death. */
  RECLAIM_BY_TIMEOUT(Promise.OVERSPEND),
  /** A claim of another attempt is taken over and its call dispatched again. */
  SECOND_DISPATCH(Promise.RUN_TWICE),
  /** Bills are not deduplicated by request. */
  BILL_PER_RESERVATION(Promise.BILLED_TWICE),
  /** A write of unknown outcome is sent again without being read back. */
  WRITE_NOT_READ_BACK(Promise.OVERSPEND),
  /** An earlier configuration is accepted. */
  STALE_CONFIGURATION(Promise.CONFIGURATION_REVERTED),
  /** A truncated answer is passed as whole. */
  TRUNCATED_ANSWER(Promise.INCOMPLETE_ANSWER);

  private static final long STALE_FROM_MILLIS = 5_000;
  private static final long STALE_UNTIL_MILLIS = 10_000;

  private final Promise promise;

  Mutant(Promise promise) {
    this.promise = promise;
  }

  /** Returns the promise that the fault breaks. */
  Promise promise() {
    return promise;
  }

  /** Builds daemons with the fault. */
  NodeFactory factory() {
    return switch (this) {
      case RECLAIM_BY_TIMEOUT ->
          (settings, ports) -> {
            new TimeoutReclaimer(settings, ports).start();
            return new CoordinationNode(settings, ports);
          };
      case SECOND_DISPATCH -> decorated(p -> withClaims(SecondDispatch::new));
      case BILL_PER_RESERVATION -> withTable(WrappedTable::billPerReservation);
      case WRITE_NOT_READ_BACK -> withTable(WrappedTable::sendAgain);
      case STALE_CONFIGURATION -> decorated(p -> withConfiguration(p.scheduler()));
      case TRUNCATED_ANSWER ->
          (settings, p) ->
              new CoordinationNode(
                  settings, ports(p, p.table(), new TruncatingEngines(p.engines())));
    };
  }

  private static NodeFactory decorated(Function<NodePorts, NodeDecorators> decorators) {
    return (settings, ports) -> new CoordinationNode(settings, ports, decorators.apply(ports));
  }

  private static NodeFactory withTable(WrappedTable.Writes writes) {
    return (settings, p) ->
        new CoordinationNode(settings, ports(p, new WrappedTable(p.table(), writes), p.engines()));
  }

  private static NodePorts ports(NodePorts p, TableService table, EngineClient engines) {
    return new NodePorts(
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
        none.budgets(), none.billing(), none.claims(), view -> new StaleView(view, scheduler));
  }

  /** Takes over a claim that another attempt holds. */
  private record SecondDispatch(Claims claims) implements Claims {

    @Override
    public CompletableFuture<ClaimResult> claim(
        RequestKey key, String fingerprint, long waitMillis) {
      return claims.claim(key, fingerprint, waitMillis).thenApply(r -> takeOver(key, r));
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
      return claims.withdraw(claim);
    }

    @Override
    public void finish(Claim claim, int status, String contentType, byte[] body) {
      claims.finish(claim, status, contentType, body);
    }

    @Override
    public CompletableFuture<LookUp> lookUp(RequestKey key) {
      return claims.lookUp(key);
    }
  }

  /** Falls back to the preceding configuration for some seconds, as if a late peer sent it. */
  private static final class StaleView implements ConfigurationView {

    private final ConfigurationView view;
    private final Scheduler scheduler;
    private final List<Configuration> accepted = new ArrayList<>();
    private long acceptedAt;

    StaleView(ConfigurationView view, Scheduler scheduler) {
      this.view = view;
      this.scheduler = scheduler;
      view.addListener(
          c -> {
            accepted.add(c);
            acceptedAt = scheduler.nowMillis();
          });
    }

    @Override
    public Optional<Configuration> current() {
      long age = scheduler.nowMillis() - acceptedAt;
      boolean isStale = age >= STALE_FROM_MILLIS && age < STALE_UNTIL_MILLIS;
      return isStale && accepted.size() > 1
          ? Optional.of(accepted.get(accepted.size() - 2))
          : view.current();
    }

    @Override
    public void addListener(Consumer<Configuration> listener) {
      view.addListener(listener);
    }
  }
}
