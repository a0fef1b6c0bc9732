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

/** Upstreams of the site with their load as known to this daemon, and the choice among them. */
final class UpstreamDirectory {
  /** Largest number of indexed prefixes, which bounds the index to about 10 MB. */
  private static final int MAX_PREFIXES = 40_000;

  /** Requirements of a request on its upstream. */
  record Requirements(
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
        prefixes.removeEngine(name);
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

  /** Returns whether any upstream can serve the request, now or once it has a free slot. */
  boolean isServed(Requirements requirements) {
    Requirements any =
        new Requirements(
            requirements.kind(), requirements.serves(), List.of(), requirements.excluded(), false);
    return !eligible(any).isEmpty();
  }

  /** Returns whether an upstream has a free slot for the request now. */
  boolean hasFreeSlot(Requirements requirements) {
    return eligible(requirements).stream().anyMatch(UpstreamState::hasFreeSlot);
  }

  Optional<UpstreamState> choose(Requirements requirements) {
    MemberInfo self = membership.self();
    long now = scheduler.nowMillis();
    List<EngineCandidate> candidates = new ArrayList<>();
    for (UpstreamState s : eligible(requirements)) {
      candidates.add(
          s.candidate(prefixes.match(s.upstream().name(), requirements.prefixes()), now));
    }
    return routing.choose(candidates, self.failureDomain(), random).map(c -> states.get(c.name()));
  }

  private List<UpstreamState> eligible(Requirements requirements) {
    Set<String> leaving = membership.leavingUpstreams();
    String site = membership.self().site();
    List<UpstreamState> result = new ArrayList<>();
    for (UpstreamState s : states.values()) {
      Upstream u = s.upstream();
      boolean serves =
          u.kind() == requirements.kind()
              && u.serves().contains(requirements.serves())
              && u.site().equals(site);
      boolean usable =
          !u.leaving()
              && !leaving.contains(u.name())
              && !requirements.excluded().contains(u.name());
      if (serves && usable && !(requirements.suspect() && s.hasSuspect())) {
        result.add(s);
      }
    }
    return result;
  }
}
