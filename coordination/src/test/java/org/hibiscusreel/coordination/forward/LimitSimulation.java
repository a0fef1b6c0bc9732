package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.RequestLimit;

/** Several daemons that send requests to one upstream with a limit, on one virtual clock. */
final class LimitSimulation {

  private static final String UPSTREAM = "u";

  /** A daemon has to keep the limit this long after a response to itself first named it. */
  private static final long TOLD_MILLIS = 500;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Random random;
  private final double lossShare;
  private final List<LoadExchange> daemons = new ArrayList<>();
  private final Map<String, Consumer<LoadReport>> receivers = new HashMap<>();
  private final Map<LoadExchange, Long> toldAtMillis = new HashMap<>();
  private final Map<String, Long> cutUntilMillis = new HashMap<>();
  private final List<Long> sentAtMillis = new ArrayList<>();
  private OptionalDouble perSecond;
  private int incarnation;

  LimitSimulation(Random random, int daemonCount, double lossShare, double perSecond) {
    this.random = random;
    this.lossShare = lossShare;
    this.perSecond = OptionalDouble.of(perSecond);
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(newDaemon(i, daemonCount));
    }
  }

  private LoadExchange newDaemon(int index, int count) {
    String address = "d" + index;
    LoadExchange e =
        new LoadExchange(
            scheduler,
            new LossyTransport(address),
            new LoadExchange.Identity(address + "." + ++incarnation, address),
            () -> count,
            () -> 0,
            Set::of,
            v -> {});
    e.start();
    List<String> others = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      if (i != index) {
        others.add("d" + i);
      }
    }
    e.onPeers(others);
    return e;
  }

  long nowMillis() {
    return scheduler.nowMillis();
  }

  void run(long millis) {
    scheduler.run(millis);
  }

  void setPerSecond(OptionalDouble value) {
    perSecond = value;
  }

  /** Returns the times of requests from daemons that have to keep the limit. */
  List<Long> sentSince(long fromMillis) {
    return sentAtMillis.stream().filter(at -> at >= fromMillis).toList();
  }

  /** Loses all reports from and to a daemon for a while. */
  void cut(int daemon, long millis) {
    cutUntilMillis.put("d" + daemon, scheduler.nowMillis() + millis);
  }

  /** Replaces a daemon by one that knows nothing. */
  void restart(int daemon) {
    daemons.get(daemon).stop();
    daemons.set(daemon, newDaemon(daemon, daemons.size()));
  }

  /** Sends a request from a daemon to the upstream if its limit allows one. */
  void request(int daemon) {
    LoadExchange d = daemons.get(daemon);
    if (d.waitMillis(UPSTREAM) > 0) {
      return;
    }
    long sentAt = scheduler.nowMillis();
    if (sentAt - toldAtMillis.getOrDefault(d, sentAt) >= TOLD_MILLIS) {
      sentAtMillis.add(sentAt);
    }
    d.ownLoad(UPSTREAM).onSent(100);
    d.limits().onSent(UPSTREAM);
    d.scheduleReport();
    scheduler.schedule(100 + random.nextInt(300), () -> respond(d, sentAt));
  }

  private void respond(LoadExchange daemon, long sentAt) {
    RequestLimit limit =
        perSecond.isPresent()
            ? new RequestLimit.Limited(perSecond.getAsDouble())
            : new RequestLimit.Unlimited();
    daemon.limits().onResponse(UPSTREAM, limit, sentAt, scheduler.nowMillis());
    toldAtMillis.putIfAbsent(daemon, scheduler.nowMillis());
    daemon.ownLoad(UPSTREAM).onPrefillEnded(100);
    daemon.ownLoad(UPSTREAM).onEnded();
    daemon.scheduleReport();
  }

  private boolean isCut(String address) {
    return cutUntilMillis.getOrDefault(address, 0L) > scheduler.nowMillis();
  }

  private final class LossyTransport implements LoadTransport {
    private final String address;

    LossyTransport(String address) {
      this.address = address;
    }

    @Override
    public void send(List<String> peers, LoadReport report) {
      for (String p : peers) {
        if (random.nextDouble() >= lossShare && !isCut(address) && !isCut(p)) {
          scheduler.schedule(
              1 + random.nextInt(8), () -> receivers.getOrDefault(p, r -> {}).accept(report));
        }
      }
    }

    @Override
    public void receive(Consumer<LoadReport> receiver) {
      receivers.put(address, receiver);
    }
  }
}
