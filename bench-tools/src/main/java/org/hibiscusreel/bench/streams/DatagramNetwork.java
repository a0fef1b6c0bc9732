package org.hibiscusreel.bench.streams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.hibiscusreel.bench.sim.VirtualTime;

/** Datagrams between daemons, which may be lost, late or delivered twice. */
final class DatagramNetwork {

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Map<String, ModelDaemon> receivers = new HashMap<>();
  private final Set<String> cutOff = new HashSet<>();
  private double lossProbability;
  private double repeatProbability;
  private int lateMillis;

  DatagramNetwork(VirtualTime time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  /** Sets what happens to datagrams. */
  void disturb(double loss, double repeat, int late) {
    lossProbability = loss;
    repeatProbability = repeat;
    lateMillis = late;
  }

  /** Cuts a daemon off from the others, or connects it again. */
  void setCutOff(String address, boolean isCutOff) {
    if (isCutOff) {
      cutOff.add(address);
    } else {
      cutOff.remove(address);
    }
  }

  boolean isCutOff(String address) {
    return cutOff.contains(address);
  }

  /** Makes a daemon the receiver of what is sent to its address. */
  void bind(ModelDaemon daemon) {
    receivers.put(daemon.address(), daemon);
  }

  void send(String from, String to, Consumer<ModelDaemon> arrival) {
    int copies = random.nextDouble() < repeatProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      boolean isLost = random.nextDouble() < lossProbability;
      int delay = 1 + random.nextInt(3 + lateMillis);
      if (!isLost && !isCutOff(from) && !isCutOff(to)) {
        time.schedule(delay, () -> arrive(to, arrival));
      }
    }
  }

  private void arrive(String to, Consumer<ModelDaemon> arrival) {
    ModelDaemon receiver = receivers.get(to);
    if (receiver != null && !isCutOff(to)) {
      receiver.process().deliverDatagram(() -> arrival.accept(receiver));
    }
  }
}
