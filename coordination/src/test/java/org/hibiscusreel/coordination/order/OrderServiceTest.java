package org.hibiscusreel.coordination.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.EngineOrder;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ServingDefaults;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.order.OrderRow;
import org.hibiscusreel.core.timeline.HybridClock;
import org.junit.jupiter.api.Test;

class OrderServiceTest {
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final List<EngineOrder> orders = new ArrayList<>();
  private EngineOrder engineState = new EngineOrder(0, List.of(), List.of(), "");
  private boolean engineChecksFencing = true;
  private String responsibleIncarnation = "a.1";

  private OrderService daemon(String incarnation) {
    MemberInfo self = new MemberInfo(incarnation, incarnation, "d1", "s1", "", "");
    NodeDependencies ports =
        new NodeDependencies(
            scheduler, table, null, null, null, engines(), null, e -> {}, new Random(1)::nextLong);
    EventRecorder recorder =
        new EventRecorder(new HybridClock(scheduler::wallMillis), incarnation, e -> {});
    OrderService service =
        new OrderService(ports, new SingleMemberView(self), new FixedConfiguration(), recorder);
    service.start();
    return service;
  }

  private EngineClient engines() {
    return (EngineClient)
        Proxy.newProxyInstance(
            EngineClient.class.getClassLoader(),
            new Class<?>[] {EngineClient.class},
            (p, m, args) ->
                CompletableFuture.completedFuture(
                    Optional.of(
                        m.getName().equals("state")
                            ? engineState
                            : command((EngineOrder) args[1]))));
  }

  private boolean command(EngineOrder order) {
    orders.add(order);
    if (engineChecksFencing && order.fencing() < engineState.fencing()) {
      return false;
    }
    engineState = order;
    return true;
  }

  private final class SingleMemberView implements MembershipView {
    private final MemberInfo self;

    SingleMemberView(MemberInfo self) {
      this.self = self;
    }

    @Override
    public MemberInfo self() {
      return self;
    }

    @Override
    public List<MemberInfo> alive() {
      return List.of(self);
    }

    @Override
    public List<MemberInfo> rank(String failureDomain, String key) {
      return List.of(
          new MemberInfo(
              responsibleIncarnation, responsibleIncarnation, failureDomain, "s1", "", ""));
    }

    @Override
    public Set<String> leavingUpstreams() {
      return Set.of();
    }

    @Override
    public void markUpstreamLeaving(String upstream) {}

    @Override
    public void markUpstreamReturned(String upstream) {}
  }

  private static final class FixedConfiguration implements ConfigurationView {
    @Override
    public Optional<Configuration> current() {
      Upstream u =
          new Upstream(
              "e1", UpstreamKind.ENGINE, "e1", "d1", "s1", List.of("writer"), 8, true, false);
      return Optional.of(
          new Configuration(
              1,
              new ServingDefaults(1, 1, 0, 1),
              Map.of(),
              Map.of(),
              Map.of("e1", u),
              Map.of(),
              Map.of(),
              Map.of()));
    }

    @Override
    public void addListener(Consumer<Configuration> listener) {
      listener.accept(current().orElseThrow());
    }
  }

  /**
   * Guards against engines without their declared models, and against unnecessary repeated
   * commands.
   */
  @Test
  void bringsEnginesIntoTheirDeclaredStateOnce() {
    daemon("a.1");
    daemon("b.1");
    scheduler.run(60_000);
    assertThat(orders).hasSize(1);
    assertThat(engineState.models()).containsExactly("writer");
    assertThat(engineState.fencing()).isEqualTo(1);
    assertThat(table.get(TableKeys.order("e1"), OrderRow.class).holder()).isEqualTo("a.1");
  }

  /**
   * Guards against a delayed command of a paused holder at an engine that ignores fencing numbers.
   */
  @Test
  void correctsDelayedCommandsWithinOneReadBack() {
    engineChecksFencing = false;
    final OrderService paused = daemon("a.1");
    scheduler.run(10_000);
    paused.stop();
    responsibleIncarnation = "b.1";
    daemon("b.1");
    command(new EngineOrder(1, List.of("old"), List.of(), "generate"));
    scheduler.run(OrderService.READ_BACK_INTERVAL_MILLIS + 100);
    assertThat(engineState.models()).containsExactly("writer");
    assertThat(engineState.fencing()).isEqualTo(2);
  }

  /**
   * Guards against two holders of one fencing number, and against a blocked holder, after lost
   * responses.
   */
  @Test
  void recoversFromLostResponsesOfTheTable() {
    table.failWrites(FakeTable.Fault.RESPONSE_LOST, FakeTable.Fault.REQUEST_LOST);
    daemon("a.1");
    scheduler.run(30_000);
    assertThat(orders).extracting(EngineOrder::fencing).containsExactly(1L);
    engineState = new EngineOrder(7, List.of("manual"), List.of(), "generate");
    scheduler.run(60_000);
    assertThat(engineState.models()).containsExactly("writer");
    assertThat(orders)
        .extracting(EngineOrder::fencing)
        .containsExactly(1L, 1L, 2L, 3L, 4L, 5L, 6L, 7L);
  }
}
