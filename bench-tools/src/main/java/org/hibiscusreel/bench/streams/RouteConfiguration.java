package org.hibiscusreel.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.WeightedService;

/** Configuration with one route, as a text: its version and the services of the route. */
final class RouteConfiguration {

  static final String HOST = "h";
  static final String PATH_PREFIX = "/a/";

  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long TARGET_MILLIS = 600;
  private static final long MAX_PAUSE_MILLIS = 400;
  private static final int MAX_ATTEMPTS = 3;

  private RouteConfiguration() {}

  static String format(long version, List<String> services) {
    return version + ":" + String.join(",", services);
  }

  static List<String> services(String text) {
    String names = text.substring(text.indexOf(':') + 1);
    return names.isEmpty() ? List.of() : List.of(names.split(","));
  }

  static ForwardingTable parse(String text) {
    List<WeightedService> weighted = new ArrayList<>();
    services(text).forEach(s -> weighted.add(new WeightedService(s, 1)));
    List<Route> routes = new ArrayList<>();
    if (!weighted.isEmpty()) {
      routes.add(
          new Route(
              "r",
              HOST,
              PATH_PREFIX,
              RetryPolicy.RESUMABLE,
              true,
              TIMEOUT_MILLIS,
              TARGET_MILLIS,
              MAX_PAUSE_MILLIS,
              1,
              weighted,
              MAX_ATTEMPTS,
              true));
    }
    return new ForwardingTable(
        Long.parseLong(text.substring(0, text.indexOf(':'))),
        new CallerLimits(1_000, 1_000, 1_000),
        routes,
        List.of(new ForwardService("s", 50, 50, 0, 5), new ForwardService("t", 50, 50, 0, 5)),
        List.of(),
        Map.of());
  }
}
