package org.hibiscusreel.coordination.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.PauseRequest;
import org.hibiscusreel.core.forward.RejectionTolerance;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;

/** Several daemons that send requests to the same brittle upstreams, on one virtual clock. */
final class BrittleSimulation {

  /** Time after its first notice from which an upstream lets none wait and may end. */
  static final long CONTACT_MILLIS = 3_000;

  private static final int WAITING = 4;
  private static final long DOWN_MILLIS = 3_000;
  private static final long SECOND_MILLIS = 1_000;
  private static final int NETWORK_MILLIS = 4;

  /**
   * Daemons that receive the same requests, or only the first of them most.
   *
   * @param daemons number of daemons
   * @param lossShare part of the load reports that is lost, 0 to 1
   * @param isUneven whether half of the requests come to the first daemon
   */
  record Fleet(int daemons, double lossShare, boolean isUneven) {}

  /**
   * Upstreams of one kind.
   *
   * @param count number of upstreams
   * @param slots requests that an upstream says it can run
   * @param room requests for which its memory has room, up to the slots
   * @param meanMillis mean duration of a request in milliseconds
   * @param tolerance rejections per second that it survives
   */
  record Upstreams(int count, int slots, int room, int meanMillis, int tolerance) {

    /** Returns the requests per second that they can take. */
    double perSecond() {
      return count * room * 1_000.0 / meanMillis;
    }
  }

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Random random;
  private final double lossShare;
  private final int tolerance;
  private final Upstreams kind;
  private final boolean isUneven;
  private final List<ForwardHarness> daemons = new ArrayList<>();
  private final Map<String, Consumer<LoadReport>> receivers = new HashMap<>();
  private final Map<String, Upstream> upstreams = new HashMap<>();
  private int instances;
  private int falls;
  private int servedInContact;

  BrittleSimulation(Random random, Fleet fleet, Upstreams kind) {
    this.random = random;
    this.lossShare = fleet.lossShare();
    this.tolerance = kind.tolerance();
    this.kind = kind;
    this.isUneven = fleet.isUneven();
    int daemonCount = fleet.daemons();
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(newDaemon("d" + i, daemonCount));
    }
    for (int i = 0; i < kind.count(); i++) {
      startUpstream("10.0.0.1:" + i, "here");
    }
  }

  private ForwardHarness newDaemon(String address, int count) {
    LoadExchange loads =
        new LoadExchange(
            scheduler,
            new LossyTransport(address),
            new LoadExchange.Identity(address + ".1", address),
            () -> count,
            () -> 0,
            Set::of,
            v -> {});
    List<String> others = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      others.add("d" + i);
    }
    others.remove(address);
    loads.onPeers(others);
    loads.start();
    ForwardHarness h =
        new ForwardHarness(
            scheduler,
            new NoOpCrashTransport(),
            address,
            new ForwardHarness.RouteTerms(RetryPolicy.REPEATABLE, false, 3),
            loads);
    h.random = random::nextLong;
    h.onSent = s -> after(network(), () -> upstreams.get(s.upstream.id()).receive(s));
    return h;
  }

  private void startUpstream(String address, String domain) {
    UpstreamEntry entry =
        new UpstreamEntry(
            "u" + instances++, "s", address, domain, false, kind.slots(), scheduler.nowMillis());
    upstreams.put(entry.id(), new Upstream(entry));
    daemons.forEach(d -> d.upstreams.put(entry));
  }

  private long network() {
    return 1L + random.nextInt(NETWORK_MILLIS);
  }

  private void after(long millis, Runnable task) {
    scheduler.schedule(millis, task);
  }

  /** Sends requests to the daemons, which know of no other upstream, for a time. */
  void run(long millis, double requestsPerSecond) {
    long end = scheduler.nowMillis() + millis;
    double due = scheduler.nowMillis();
    while (scheduler.nowMillis() < end) {
      while (due <= scheduler.nowMillis()) {
        int daemon = isUneven && random.nextBoolean() ? 0 : random.nextInt(daemons.size());
        daemons.get(daemon).begin(ForwardHarness.plain("/a/x", "key"));
        due -= Math.log(1 - random.nextDouble()) * SECOND_MILLIS / requestsPerSecond;
      }
      scheduler.run(1);
    }
  }

  int falls() {
    return falls;
  }

  /** Returns the requests that were served since upstreams may end. */
  int servedInContact() {
    return servedInContact;
  }

  private final class Upstream {
    private final UpstreamEntry entry;
    private final Set<ForwardHarness.Sent> busy = new LinkedHashSet<>();
    private final Deque<ForwardHarness.Sent> waiting = new ArrayDeque<>();
    private final Deque<Long> rejectedAtMillis = new ArrayDeque<>();
    private boolean isDown;

    Upstream(UpstreamEntry entry) {
      this.entry = entry;
    }

    private boolean isInContact() {
      return scheduler.nowMillis() >= CONTACT_MILLIS;
    }

    void receive(ForwardHarness.Sent s) {
      if (isDown) {
        after(network(), () -> s.fail(AttemptOutcome.NOT_SENT));
      } else if (s.cancelled) {
        return;
      } else if (busy.size() < kind.room()) {
        begin(s);
      } else if (waiting.size() < (isInContact() ? 0 : WAITING)) {
        waiting.add(s);
      } else {
        reject(s);
      }
    }

    private void begin(ForwardHarness.Sent s) {
      busy.add(s);
      after(kind.meanMillis() / 2 + random.nextInt(kind.meanMillis()), () -> end(s));
    }

    private void end(ForwardHarness.Sent s) {
      if (!busy.remove(s)) {
        return;
      }
      servedInContact += isInContact() ? 1 : 0;
      after(
          network(),
          () -> {
            s.listener.onNotice(notice(false));
            s.respond(200, "ok");
          });
      if (!waiting.isEmpty()) {
        begin(waiting.poll());
      }
    }

    private void reject(ForwardHarness.Sent s) {
      long now = scheduler.nowMillis();
      rejectedAtMillis.removeIf(at -> now - at >= SECOND_MILLIS);
      rejectedAtMillis.add(now);
      after(
          network(),
          () -> {
            s.listener.onNotice(notice(true));
            s.fail(AttemptOutcome.NOT_EXECUTED);
          });
      if (isInContact() && rejectedAtMillis.size() > tolerance) {
        fall();
      }
    }

    private UpstreamNotice notice(boolean isFull) {
      return new UpstreamNotice(
          new RequestLimit.Unlimited(),
          false,
          new PauseRequest.None(),
          new RejectionTolerance.Bounded(tolerance),
          isFull);
    }

    private void fall() {
      falls++;
      isDown = true;
      List<ForwardHarness.Sent> broken = new ArrayList<>(busy);
      broken.addAll(waiting);
      busy.clear();
      waiting.clear();
      for (ForwardHarness.Sent s : broken) {
        after(network(), () -> s.fail(AttemptOutcome.BROKEN));
      }
      after(
          DOWN_MILLIS,
          () -> {
            daemons.forEach(d -> d.upstreams.remove(entry.id(), scheduler.nowMillis()));
            daemons.forEach(d -> d.forwarder.loads().onUpstreamsRemoved(List.of(entry.id())));
            startUpstream(entry.address(), entry.failureDomain());
          });
    }
  }

  private final class LossyTransport implements LoadTransport {
    private final String address;

    LossyTransport(String address) {
      this.address = address;
    }

    @Override
    public void send(List<String> peers, LoadReport report) {
      for (String p : peers) {
        if (random.nextDouble() >= lossShare) {
          after(network(), () -> receivers.getOrDefault(p, r -> {}).accept(report));
        }
      }
    }

    @Override
    public void receive(Consumer<LoadReport> receiver) {
      receivers.put(address, receiver);
    }
  }
}
