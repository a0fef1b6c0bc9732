package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteHistoryTest {

  private static final long INTERVAL_MILLIS = 1_000;

  /** Returns a configuration of routes that are written as prefix, colon, services. */
  private static ForwardingTable table(long version, String routes) {
    List<Route> result = new ArrayList<>();
    for (String r : routes.isEmpty() ? new String[0] : routes.split(" ", -1)) {
      String[] parts = r.split(":", -1);
      List<WeightedService> services = new ArrayList<>();
      for (String s : parts[1].split("\\+", -1)) {
        services.add(new WeightedService(s, 1));
      }
      RetryPolicy policy = parts.length > 2 ? RetryPolicy.ONCE : RetryPolicy.RESUMABLE;
      result.add(new Route(r, "h", parts[0], policy, true, 1, 1, 1, 1, services, 1, false));
    }
    return new ForwardingTable(
        version, new CallerLimits(1, 1, 1), result, List.of(), List.of(), Map.of());
  }

  /**
   * Guards against a stream that is taken for one of the service to which its route leads now,
   * although it may have begun at another one.
   */
  @ParameterizedTest
  @CsvSource({
    "/a/:s, 0, s",
    "/a/:s;/a/:t, 0, 's,t'",
    "/a/:s;/a/:t;/a/:s, 0, 's,t'",
    "/a/:s;/a/:t, 61_000, t",
    "/a/:s+t, 0, 's,t'",
    "/a/:s;'', 0, s",
    "/a/:s /a/b/:t, 0, t",
    "/a/:s /a/b/:t, 61_000, t",
    "/a/:s;/a/:s /a/b/:t, 0, 's,t'",
    "/a/:s /a/b/:t;/a/:s, 0, 's,t'",
    "/c/:s, 0, ''",
    "/a/:s:once, 0, ''"
  })
  void namesServicesOfAllConfigurationsOfLately(
      String configurations, String millisLater, String expected) {
    RouteHistory history = new RouteHistory();
    long now = 0;
    long version = 1;
    for (String c : configurations.split(";", -1)) {
      now += INTERVAL_MILLIS;
      history.onConfiguration(table(version++, c.replace("'", "")), now);
    }
    now += Long.parseLong(millisLater.replace("_", ""));
    Set<String> services = expected.isEmpty() ? Set.of() : Set.of(expected.split(",", -1));
    assertThat(history.services("h:80", "/a/b/c", now)).isEqualTo(services);
    assertThat(history.services("other", "/a/b/c", now)).isEmpty();
  }

  /**
   * Guards against daemons that take configurations for different ones that lead all routes alike,
   * and against those that take different ones for the same.
   */
  @ParameterizedTest
  @CsvSource({
    "/a/:s;/a/:s, 1",
    "/a/:s /b/:t;/b/:t /a/:s, 1",
    "/a/:s;/a/:s /b/:t:once, 1",
    "/a/:s;/a/:t, 2",
    "/a/:s;/a/:s+t, 2",
    "/a/:s+t;/a/:t+s, 1",
    "/a/:s /b/:t;/a/:t /b/:s, 2",
    "/a/:s;/a/:t;/a/:s, 2"
  })
  void digestsTellWhetherRoutesLeadElsewhere(String configurations, int expected) {
    RouteHistory history = new RouteHistory();
    long version = 1;
    for (String c : configurations.split(";", -1)) {
      history.onConfiguration(table(version, c), version++);
    }
    assertThat(history.digestsSince(0)).hasSize(expected);
    assertThat(history.digestsSince(version)).hasSize(1);
  }

  /** Guards against streams of a route that was moved and of which no other daemon is told. */
  @ParameterizedTest
  @CsvSource({
    "/a/:s /b/:t, s, s",
    "/a/:s;/a/:t, s, 's,t'",
    "/a/:s;/a/:t, t, 's,t'",
    "/a/:s+t /b/:u, u, u",
    "/a/:s, x, x"
  })
  void groupsServicesThatShareRoute(String configurations, String service, String expected) {
    RouteHistory history = new RouteHistory();
    long version = 1;
    for (String c : configurations.split(";", -1)) {
      history.onConfiguration(table(version, c), version++);
    }
    assertThat(history.servicesWith(service, version)).isEqualTo(Set.of(expected.split(",", -1)));
  }
}
