package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.routing.EngineCandidate;
import org.hibiscusreel.core.routing.PrefixCacheIndex;
import org.hibiscusreel.core.routing.RoutingPolicy;

/** The upstreams of the site, their load as seen from here, and the choice among them. */
final class UpstreamDirectory {
  /** Bounds the index to about 10 MB. */
  private static final int MAX_PREFIXES = 40_000;

  /** What a request needs of an upstream. */
  record Wanted(
      UpstreamKind kind,
      String serves,
      List<String> prefixes,
      Set<String> excluded,
      boolean suspect) {}

  private final Scheduler scheduler;
  private final MembershipView membership;
  private final RoutingPolicy routing;
  private final LongSupplier random;
  private final PrefixCacheIndex prefixes = new PrefixCacheIndex(MAX_PREFIXES);
  private Map<String, UpstreamState> states = new LinkedHashMap<>();

  UpstreamDirectory(RequestDependencies dependencies) {
    this.scheduler = dependencies.ports().scheduler();
    this.random = dependencies.ports().random();
    this.membership = dependencies.membership();
    this.routing = dependencies.routing();
  }

  void onConfiguration(Configuration configuration) {
    Map<String, UpstreamState> next = new LinkedHashMap<>();
    for (Upstream u : new TreeMap<>(configuration.upstreams()).values()) {
      UpstreamState known = states.get(u.name());
      if (known == null) {
        next.put(u.name(), new UpstreamState(u));
      } else {
        known.update(u);
        next.put(u.name(), known);
      }
    }
    for (String name : states.keySet()) {
      if (!next.containsKey(name)) {
        prefixes.forget(name);
      }
    }
    states = next;
  }

  List<UpstreamState> engines() {
    return states.values().stream()
        .filter(s -> s.upstream().kind() == UpstreamKind.ENGINE)
        .filter(s -> s.upstream().site().equals(membership.self().site()))
        .toList();
  }

  PrefixCacheIndex prefixes() {
    return prefixes;
  }

  /** Tells whether any upstream can serve the request, now or when it has room. */
  boolean isServed(Wanted wanted) {
    Wanted any = new Wanted(wanted.kind(), wanted.serves(), List.of(), wanted.excluded(), false);
    return !eligible(any).isEmpty();
  }

  /** Tells whether an upstream has room for the request now. */
  boolean hasRoom(Wanted wanted) {
    return eligible(wanted).stream().anyMatch(UpstreamState::hasRoom);
  }

  Optional<UpstreamState> choose(Wanted wanted) {
    MemberInfo self = membership.self();
    long now = scheduler.nowMillis();
    List<EngineCandidate> candidates = new ArrayList<>();
    for (UpstreamState s : eligible(wanted)) {
      candidates.add(s.candidate(prefixes.match(s.upstream().name(), wanted.prefixes()), now));
    }
    return routing.choose(candidates, self.failureDomain(), random).map(c -> states.get(c.name()));
  }

  private List<UpstreamState> eligible(Wanted wanted) {
    Set<String> leaving = membership.leavingUpstreams();
    String site = membership.self().site();
    List<UpstreamState> result = new ArrayList<>();
    for (UpstreamState s : states.values()) {
      Upstream u = s.upstream();
      boolean serves =
          u.kind() == wanted.kind()
              && u.serves().contains(wanted.serves())
              && u.site().equals(site);
      boolean usable =
          !u.leaving() && !leaving.contains(u.name()) && !wanted.excluded().contains(u.name());
      if (serves && usable && !(wanted.suspect() && s.hasSuspect())) {
        result.add(s);
      }
    }
    return result;
  }
}
