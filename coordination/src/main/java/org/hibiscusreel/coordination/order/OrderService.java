package org.hibiscusreel.coordination.order;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.platform.FutureCallbacks;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.EngineOrder;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.core.order.OrderRow;

/**
 * Keeps engines in their declared state. For each engine, one daemon of the failure domain reads
 * the state periodically and, if it differs from the declared one, acquires a fencing number and
 * sends a command. An engine that ignores fencing numbers may execute the delayed command of a
 * paused daemon; the next read-back corrects this.
 */
public final class OrderService {
  /** Interval in milliseconds at which the state of an engine is read. */
  public static final long READ_BACK_INTERVAL_MILLIS = 5_000;

  private static final String ROLE = "generate";

  private final NodeDependencies ports;
  private final MembershipView membership;
  private final ConfigurationView configuration;
  private final EventRecorder recorder;
  private final Set<String> enginesInProgress = new HashSet<>();
  private final Set<String> enginesWithStaleFencing = new HashSet<>();
  private Cancellable timer = () -> {};
  private boolean running;

  /**
   * Creates the service.
   *
   * @param ports scheduler, table, engines and random source
   * @param membership determines which daemon is responsible for an engine
   * @param configuration configuration that declares the state of the engines
   * @param recorder receives events
   */
  public OrderService(
      NodeDependencies ports,
      MembershipView membership,
      ConfigurationView configuration,
      EventRecorder recorder) {
    this.ports = ports;
    this.membership = membership;
    this.configuration = configuration;
    this.recorder = recorder;
  }

  /** Starts reading the states of engines periodically. */
  public void start() {
    running = true;
    long phase = Math.floorMod(ports.random().getAsLong(), READ_BACK_INTERVAL_MILLIS);
    timer = ports.scheduler().schedule(phase, this::readBackAll);
  }

  /** Stops reading states and sending commands. */
  public void stop() {
    running = false;
    timer.cancel();
  }

  private void readBackAll() {
    timer = ports.scheduler().schedule(READ_BACK_INTERVAL_MILLIS, this::readBackAll);
    configuration
        .current()
        .ifPresent(
            c ->
                c.upstreams().values().stream()
                    .filter(this::isResponsibleFor)
                    .forEach(this::readBack));
  }

  private boolean isResponsibleFor(Upstream u) {
    MemberInfo self = membership.self();
    if (u.kind() != UpstreamKind.ENGINE || !u.failureDomain().equals(self.failureDomain())) {
      return false;
    }
    List<MemberInfo> ranked = membership.rank(u.failureDomain(), TableKeys.order(u.name()));
    return !ranked.isEmpty() && ranked.get(0).incarnation().equals(self.incarnation());
  }

  private void readBack(Upstream u) {
    if (!enginesInProgress.add(u.name())) {
      return;
    }
    FutureCallbacks.onValue(
        ports.engines().state(u),
        state -> {
          if (state.isPresent() && running && !matchesDeclaredState(u, state.get())) {
            readOrderRow(u);
          } else {
            enginesInProgress.remove(u.name());
          }
        });
  }

  private static boolean matchesDeclaredState(Upstream u, EngineOrder state) {
    EngineOrder declared = declaredState(u, state.fencing());
    return Set.copyOf(state.models()).equals(Set.copyOf(declared.models()))
        && Set.copyOf(state.adapters()).equals(Set.copyOf(declared.adapters()))
        && state.role().equals(declared.role());
  }

  private static EngineOrder declaredState(Upstream u, long fencing) {
    return new EngineOrder(fencing, u.serves(), List.of(), ROLE);
  }

  /**
   * Reads the order row before each command, so that a daemon that was paused detects a newer
   * holder.
   */
  private void readOrderRow(Upstream u) {
    String key = TableKeys.order(u.name());
    FutureCallbacks.onValue(
        ports.table().read(List.of(key)),
        result -> {
          if (result instanceof ReadResult.Rows rows) {
            Optional<Row> row = rows.rows().stream().filter(r -> r.version() > 0).findFirst();
            acquireFencingNumber(u, key, row);
          } else {
            enginesInProgress.remove(u.name());
          }
        });
  }

  private void acquireFencingNumber(Upstream u, String key, Optional<Row> row) {
    Optional<OrderRow> present = row.map(r -> Json.read(r.value(), OrderRow.class));
    boolean isFencingStale = enginesWithStaleFencing.contains(u.name());
    Optional<OrderRow> next =
        OrderRow.next(
            present, membership.self().incarnation(), digest(declaredState(u, 0)), isFencingStale);
    if (next.isEmpty()) {
      sendOrder(u, present.orElseThrow().fencing());
      return;
    }
    long version = row.map(Row::version).orElse(0L);
    Mutation m = Mutation.replace(key, version, Json.write(next.get()));
    FutureCallbacks.onValue(
        ports.table().transact(List.of(m)),
        result -> {
          if (result instanceof WriteResult.Committed) {
            enginesWithStaleFencing.remove(u.name());
            sendOrder(u, next.get().fencing());
          } else {
            // The next read-back detects whether the write took effect.
            enginesInProgress.remove(u.name());
          }
        });
  }

  private void sendOrder(Upstream u, long fencing) {
    recorder.record("order_sent", "", "", "", u.name(), "fencing=" + fencing);
    FutureCallbacks.onValue(
        ports.engines().order(u, declaredState(u, fencing)),
        accepted -> {
          enginesInProgress.remove(u.name());
          if (accepted.isPresent() && !accepted.get()) {
            enginesWithStaleFencing.add(u.name());
          }
          String outcome = accepted.map(a -> a ? "accepted" : "stale").orElse("unknown");
          recorder.record("order_answered", "", "", "", u.name(), outcome);
        });
  }

  private static String digest(EngineOrder declared) {
    try {
      byte[] bytes = Json.write(declared).getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
