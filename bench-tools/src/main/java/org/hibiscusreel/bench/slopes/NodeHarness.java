package org.hibiscusreel.bench.slopes;

import com.google.protobuf.InvalidProtocolBufferException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.bench.sim.SimulatedProcess;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.coordination.config.ConfigurationBody;
import org.hibiscusreel.coordination.config.ConfigurationHead;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.node.CoordinationNode;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.node.NodeSettings;
import org.hibiscusreel.coordination.port.EngineCall;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.wire.Member;
import org.hibiscusreel.wire.ProbeRequest;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.hibiscusreel.wire.SettleEntry;
import org.hibiscusreel.wire.SettleRequest;

/**
 * Runs one unmodified node on ports that keep no state, for measurements of memory and CPU time.
 */
final class NodeHarness {

  private static final int MAX_BUFFERED_BILLS = 1_000_000;
  private static final long DRAIN_MILLIS = 30_000;
  private static final long WAIT_STEP_MILLIS = 20;
  private static final int MAX_WAIT_STEPS = 100;
  private static final String SELF = "host-0.1767600000000.0a1b2c3d";

  private final VirtualTime time = new VirtualTime();
  private final SimulatedProcess scope = new SimulatedProcess(time);
  private final SyntheticTable table = new SyntheticTable();
  private final CoordinationNode node;
  private byte[] configurationBody = new byte[0];
  private long configurationVersion;

  NodeHarness() {
    MemberInfo self =
        new MemberInfo(SELF, "host-0", "domain-0", "site-0", "127.0.0.1:7000", "127.0.0.1:8000");
    Random random = new Random(1);
    node =
        new CoordinationNode(
            new NodeSettings(self, "boot", List.of(), MAX_BUFFERED_BILLS, DRAIN_MILLIS),
            new NodeDependencies(
                scope,
                table,
                objects(),
                () -> CompletableFuture.completedFuture(Optional.empty()),
                unresponsivePort(PeerTransport.class),
                unresponsivePort(EngineClient.class),
                unresponsivePort(PlainServiceClient.class),
                event -> {},
                random::nextLong));
    var unused = node.start();
    advance(100);
  }

  CoordinationNode node() {
    return node;
  }

  SyntheticTable table() {
    return table;
  }

  SimulatedProcess scope() {
    return scope;
  }

  /** Advances the virtual time and runs the events that are due. */
  void advance(long millis) {
    time.runUntil(time.nowMillis() + millis);
  }

  /** Publishes a configuration and advances the time until the node has polled and applied it. */
  void publish(String toml) {
    configurationBody = new ConfigurationBody(toml, Map.of()).toBytes();
    configurationVersion++;
    table.setHead(
        new ConfigurationHead(configurationVersion, ConfigurationBody.digest(configurationBody)));
    advance(1_000);
    if (node.configuration().current().map(c -> c.version()).orElse(0L) != configurationVersion) {
      throw new IllegalStateException("the configuration was not applied");
    }
    configurationBody = new byte[0];
  }

  /** Returns the serialized probe of a member, with updates on a number of other members. */
  static byte[] probe(int sender, int others) {
    ProbeRequest.Builder b = ProbeRequest.newBuilder().setSender(member(sender));
    for (int i = 1; i <= others; i++) {
      b.addUpdates(member(sender + i));
    }
    return b.build().toByteArray();
  }

  private static Member member(int i) {
    return Member.newBuilder()
        .setIncarnation(String.format("host-%d.1767600000000.%08x", i, i))
        .setHost("host-" + i)
        .setFailureDomain("domain-" + i % 7)
        .setSite("site-" + i % 2)
        .setPeerAddress("127.0.0.1:" + (10_000 + i))
        .setAdminAddress("127.0.0.1:" + (30_000 + i))
        .build();
  }

  /** Parses and handles a probe; returns the size of the serialized response in bytes. */
  int handleProbe(byte[] probe) {
    try {
      return node.peerHandler().probe(ProbeRequest.parseFrom(probe)).join().toByteArray().length;
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Reserves for another server and waits; returns the size of the serialized response in bytes.
   */
  int reserve(int number, String budget) {
    CompletableFuture<ReserveResponse> response = startReserve(number, budget);
    for (int i = 0; i < MAX_WAIT_STEPS && !response.isDone(); i++) {
      advance(WAIT_STEP_MILLIS);
    }
    if (!response.isDone() || !response.join().getHolder().equals(SELF)) {
      throw new IllegalStateException("reservation was not granted: " + response);
    }
    return response.join().toByteArray().length;
  }

  /** Starts a reservation for another server without waiting for the response. */
  CompletableFuture<ReserveResponse> startReserve(int number, String budget) {
    ReserveRequest request =
        ReserveRequest.newBuilder()
            .setBudget(budget)
            .setAccount(SyntheticTable.ACCOUNT)
            .setRequestId(String.format("6f1c2d3e-0000-4000-8000-%012x", number))
            .setReservationId("host-9.1767600000000.0a1b2c3d.r" + number)
            .setTokens(1_000)
            .setServer("host-9.1767600000000.0a1b2c3d")
            .setWaitMillis(MAX_WAIT_STEPS * WAIT_STEP_MILLIS)
            .build();
    try {
      return node.peerHandler().reserve(ReserveRequest.parseFrom(request.toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Settles a reservation; returns the size of the serialized response in bytes. */
  int settle(int number, String budget) {
    SettleEntry entry =
        SettleEntry.newBuilder()
            .setReservationId("host-9.1767600000000.0a1b2c3d.r" + number)
            .setBudget(budget)
            .setHolder(SELF)
            .setTokens(500)
            .setFinal(true)
            .build();
    byte[] message = SettleRequest.newBuilder().addEntries(entry).build().toByteArray();
    try {
      var response = node.peerHandler().settle(SettleRequest.parseFrom(message));
      return response.join().toByteArray().length;
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private ObjectStore objects() {
    return new ObjectStore() {
      @Override
      public CompletableFuture<Boolean> put(String key, byte[] body) {
        return CompletableFuture.completedFuture(true);
      }

      @Override
      public CompletableFuture<GetResult> get(String key) {
        return CompletableFuture.completedFuture(new GetResult.Found(configurationBody));
      }

      @Override
      public CompletableFuture<ListResult> list(String prefix) {
        return CompletableFuture.completedFuture(new ListResult.Keys(List.of()));
      }
    };
  }

  /** Returns a port whose calls never complete. */
  private static <T> T unresponsivePort(Class<T> type) {
    EngineCall call =
        new EngineCall() {
          @Override
          public void pause() {}

          @Override
          public void resumeReading() {}

          @Override
          public void cancel() {}
        };
    Object proxy =
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (self, method, args) ->
                method.getReturnType() == EngineCall.class ? call : new CompletableFuture<>());
    return type.cast(proxy);
  }
}
