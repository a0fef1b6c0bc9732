package org.hibiscusreel.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ServingDefaults;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.routing.LocalityPolicy;
import org.junit.jupiter.api.Test;

class UpstreamPollerTest {

  /** Number of engines in one of 7 failure domains at the design size. */
  private static final int ENGINES = 126;

  /** Duration of ten times two rounds; cache events are fetched in every second round. */
  private static final int DURATION_SECONDS = 252;

  private static final int BYTES_PER_CALL = 360;
  private static final int CONTROL_BYTES_PER_SECOND = 11_000;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Set<String> polled = new HashSet<>();
  private int calls;

  @SuppressWarnings("unchecked")
  private static <T> T proxy(Class<T> type, InvocationHandler handler) {
    return (T) Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler);
  }

  private CompletableFuture<Optional<Object>> count(Upstream upstream) {
    calls++;
    polled.add(upstream.name());
    return CompletableFuture.completedFuture(Optional.empty());
  }

  /** Guards against polls that use up the control traffic allowed to a daemon. */
  @Test
  void pollsOfLargeDomainUseAtMostHalfOfTheControlTraffic() {
    MemberInfo self = new MemberInfo("a.1", "a", "d1", "s1", "", "");
    EngineClient engines = proxy(EngineClient.class, (p, m, a) -> count((Upstream) a[0]));
    MembershipView membership = proxy(MembershipView.class, (p, m, a) -> self);
    NodeDependencies ports =
        new NodeDependencies(
            scheduler, null, null, null, null, engines, null, e -> {}, new Random(1)::nextLong);
    RequestDependencies dependencies =
        new RequestDependencies(
            ports,
            null,
            null,
            membership,
            null,
            null,
            null,
            new LocalityPolicy(),
            (upstream, isLeaving, atMillis) -> {},
            null);
    UpstreamDirectory directory = new UpstreamDirectory(dependencies);
    directory.onConfiguration(configuration());
    new UpstreamPoller(dependencies, directory).start();

    scheduler.run(DURATION_SECONDS * 1_000);

    assertThat(polled).hasSize(ENGINES);
    assertThat(calls * BYTES_PER_CALL / DURATION_SECONDS)
        .isLessThanOrEqualTo(CONTROL_BYTES_PER_SECOND / 2);
  }

  private static Configuration configuration() {
    Map<String, Upstream> upstreams = new HashMap<>();
    for (int i = 0; i < ENGINES; i++) {
      String name = "e" + i;
      upstreams.put(
          name,
          new Upstream(
              name, UpstreamKind.ENGINE, name, "d1", "s1", List.of("writer"), 8, true, false));
    }
    ServingDefaults defaults = new ServingDefaults(1, 1, 0, 1);
    return new Configuration(
        1, defaults, Map.of(), Map.of(), upstreams, Map.of(), Map.of(), Map.of());
  }
}
