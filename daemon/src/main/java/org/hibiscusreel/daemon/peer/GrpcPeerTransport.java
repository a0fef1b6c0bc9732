package org.hibiscusreel.daemon.peer;

import com.google.common.util.concurrent.ListenableFuture;
import io.grpc.ConnectivityState;
import io.grpc.Deadline;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.daemon.settings.AddressParser;
import org.hibiscusreel.wire.CrashReport;
import org.hibiscusreel.wire.CrashReportResponse;
import org.hibiscusreel.wire.FetchConfigurationRequest;
import org.hibiscusreel.wire.FetchConfigurationResponse;
import org.hibiscusreel.wire.HandOverRequest;
import org.hibiscusreel.wire.HandOverResponse;
import org.hibiscusreel.wire.KeepBillsRequest;
import org.hibiscusreel.wire.KeepBillsResponse;
import org.hibiscusreel.wire.LookUpRequestRequest;
import org.hibiscusreel.wire.LookUpRequestResponse;
import org.hibiscusreel.wire.PeerGrpc;
import org.hibiscusreel.wire.ProbeIndirectRequest;
import org.hibiscusreel.wire.ProbeIndirectResponse;
import org.hibiscusreel.wire.ProbeRequest;
import org.hibiscusreel.wire.ProbeResponse;
import org.hibiscusreel.wire.ReleaseRequest;
import org.hibiscusreel.wire.ReleaseResponse;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.hibiscusreel.wire.SettleRequest;
import org.hibiscusreel.wire.SettleResponse;

/** Calls other daemons over gRPC. Used only on the thread of the event loop. */
public final class GrpcPeerTransport implements PeerTransport {

  /**
   * Largest number of open channels. A daemon mostly calls the few daemons of its own failure
   * domain; with 410 daemons, a channel to each would use memory for little benefit.
   */
  static final int MAX_CHANNELS = 64;

  private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
  private static final long IDLE_TIMEOUT_SECONDS = 60;

  /**
   * Interval of keep-alive pings, which detect connections that a network partition broke silently.
   */
  private static final long KEEP_ALIVE_SECONDS = 10;

  private static final long KEEP_ALIVE_TIMEOUT_SECONDS = 3;

  private final PeerCredentials credentials;
  private final Executor eventLoop;
  private final EventLoopGroup workerGroup = new NioEventLoopGroup(1);
  private final Map<String, ManagedChannel> channels = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates a client.
   *
   * @param credentials credentials of the client
   * @param eventLoop runs tasks on the event loop
   * @throws NullPointerException if an argument is null
   */
  public GrpcPeerTransport(PeerCredentials credentials, Executor eventLoop) {
    this.credentials = Objects.requireNonNull(credentials, "credentials");
    this.eventLoop = Objects.requireNonNull(eventLoop, "eventLoop");
  }

  /** Closes all channels. */
  public void stop() {
    channels.values().forEach(ManagedChannel::shutdownNow);
    channels.clear();
    var unused = workerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Returns the number of open channels.
   *
   * @return 0 to {@value #MAX_CHANNELS}
   */
  public int channelCount() {
    return channels.size();
  }

  @Override
  public CompletableFuture<Optional<ProbeResponse>> probe(
      String address, ProbeRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.probe(request));
  }

  @Override
  public CompletableFuture<Optional<ProbeIndirectResponse>> probeIndirect(
      String address, ProbeIndirectRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.probeIndirect(request));
  }

  @Override
  public CompletableFuture<Optional<ReserveResponse>> reserve(
      String address, ReserveRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.reserve(request));
  }

  @Override
  public CompletableFuture<Optional<SettleResponse>> settle(
      String address, SettleRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.settle(request));
  }

  @Override
  public CompletableFuture<Optional<ReleaseResponse>> release(
      String address, ReleaseRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.release(request));
  }

  @Override
  public CompletableFuture<Optional<HandOverResponse>> handOver(
      String address, HandOverRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.handOver(request));
  }

  @Override
  public CompletableFuture<Optional<FetchConfigurationResponse>> fetchConfiguration(
      String address, FetchConfigurationRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.fetchConfiguration(request));
  }

  @Override
  public CompletableFuture<Optional<CrashReportResponse>> reportCrashes(
      String address, CrashReport request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.reportCrashes(request));
  }

  @Override
  public CompletableFuture<Optional<LookUpRequestResponse>> lookUpRequest(
      String address, LookUpRequestRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.lookUpRequest(request));
  }

  @Override
  public CompletableFuture<Optional<KeepBillsResponse>> keepBills(
      String address, KeepBillsRequest request, long timeoutMillis) {
    return call(address, timeoutMillis, s -> s.keepBills(request));
  }

  private <R> CompletableFuture<Optional<R>> call(
      String address,
      long timeoutMillis,
      Function<PeerGrpc.PeerFutureStub, ListenableFuture<R>> method) {
    CompletableFuture<Optional<R>> future = new CompletableFuture<>();
    Deadline deadline = Deadline.after(timeoutMillis, TimeUnit.MILLISECONDS);
    ListenableFuture<R> answer;
    try {
      answer = method.apply(PeerGrpc.newFutureStub(channel(address)).withDeadline(deadline));
    } catch (IllegalArgumentException e) {
      eventLoop.execute(() -> future.complete(Optional.empty()));
      return future;
    }
    answer.addListener(() -> future.complete(toResult(answer)), eventLoop);
    return future;
  }

  private static <R> Optional<R> toResult(ListenableFuture<R> answer) {
    try {
      return Optional.of(answer.get());
    } catch (ExecutionException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private ManagedChannel channel(String address) {
    ManagedChannel known = channels.get(address);
    if (known != null && known.getState(false) != ConnectivityState.TRANSIENT_FAILURE) {
      return known;
    }
    if (known != null) {
      // A failed channel rejects calls immediately and waits up to two minutes before it
      // reconnects, so a restarted peer would stay unreachable. A new channel connects immediately;
      // the users of this class limit the rate of calls.
      known.shutdown();
      channels.remove(address);
    }
    if (channels.size() >= MAX_CHANNELS) {
      var oldest = channels.entrySet().iterator();
      // Calls in progress on the channel still complete.
      oldest.next().getValue().shutdown();
      oldest.remove();
    }
    ManagedChannel c =
        NettyChannelBuilder.forAddress(AddressParser.parse(address), credentials.channel())
            .channelType(NioSocketChannel.class)
            .eventLoopGroup(workerGroup)
            .directExecutor()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .idleTimeout(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build();
    channels.put(address, c);
    return c;
  }
}
