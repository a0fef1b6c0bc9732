package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.FleetFollower;
import org.hibiscusreel.coordination.forward.ForwardSettings;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.Refusal;
import org.hibiscusreel.coordination.forward.RowValue;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.coordination.platform.ObservedStoreClock;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ForwardDaemonTest {

  /** Counts the calls to the store, none of which is answered. */
  private static final class SilentStore implements TableService, ChangeFeed {

    private final AtomicInteger calls = new AtomicInteger();

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      return call();
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return call();
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return call();
    }

    @Override
    public CompletableFuture<Result> readAll(String table) {
      return call();
    }

    @Override
    public CompletableFuture<Result> poll(String table, long position, long waitMillis) {
      return call();
    }

    private <T> CompletableFuture<T> call() {
      calls.incrementAndGet();
      return new CompletableFuture<>();
    }
  }

  /** Message format for a daemon that neither receives nor sends a request. */
  private static final class UnusedDialect implements CallerDialect, UpstreamDialect {

    @Override
    public CallerRequest read(ReceivedRequest received) {
      throw new UnsupportedOperationException();
    }

    @Override
    public RefusalResponse write(Refusal refusal) {
      throw new UnsupportedOperationException();
    }

    @Override
    public List<HeaderField> headerFields(
        UpstreamEntry upstream, UpstreamTransport.UpstreamRequest request) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Optional<UpstreamNotice> notice(int status, List<HeaderField> fields) {
      throw new UnsupportedOperationException();
    }

    @Override
    public ResponseCheck checkResponse(
        UpstreamTransport.UpstreamRequest request, int status, List<HeaderField> fields) {
      throw new UnsupportedOperationException();
    }
  }

  private final SilentStore store = new SilentStore();

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private ForwardDaemon daemon(TestLoop loop, int callerPort, int statusPort) {
    EventLoopScheduler scheduler = new EventLoopScheduler(loop.eventloop());
    ForwardDaemon.Settings settings =
        new ForwardDaemon.Settings(
            "h",
            "h.2",
            loopback(callerPort),
            loopback(statusPort),
            loopback(0),
            loopback(0),
            1_000,
            1e6,
            100,
            IntakeLimits.forProcess(4_096, 48_000_000),
            new ForwardSettings("d", 0.2, 10, 2_000));
    ForwardDaemon.Dependencies ports =
        new ForwardDaemon.Dependencies(
            store,
            store,
            new ObservedStoreClock(scheduler::nowMillis),
            new FleetFollower.RowFormat(
                "configuration",
                "upstreams",
                c -> new RowValue.Absent<>(),
                c -> new RowValue.Absent<>()),
            new UnusedDialect(),
            new UnusedDialect());
    PrintStream out = new PrintStream(OutputStream.nullOutputStream());
    return new ForwardDaemon(
        settings, ports, loop.eventloop(), scheduler, new JsonDecisionLog(out, "h.2", () -> 0));
  }

  /**
   * Guards against a daemon that takes over tokens of a process that still runs: the first call to
   * the store has to follow the binding of both addresses.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void callsNoStoreWhileAnotherProcessHoldsAnAddress(boolean ofCallers) throws IOException {
    AtomicInteger failures = new AtomicInteger();
    TestLoop loop = new TestLoop();
    try (ServerSocket held = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      loop.run(
          () -> {
            try {
              int port = held.getLocalPort();
              daemon(loop, ofCallers ? port : 0, ofCallers ? 0 : port).start();
            } catch (BindException e) {
              failures.incrementAndGet();
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
    } finally {
      loop.close();
    }
    assertThat(failures).hasValue(1);
    assertThat(store.calls).hasValue(0);
  }
}
