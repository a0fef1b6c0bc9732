package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpResponse;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.forward.UpstreamTransport.UpstreamRequest;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of a call of an isolated host with scripted relays over real sockets. */
class UpstreamCallTest {

  private static final UpstreamEntry UPSTREAM =
      new UpstreamEntry("u", "s", "127.0.0.1:1", "d", false, 4, 7);

  private final TestLoop loop = new TestLoop();
  private final List<Closeable> relays = new ArrayList<>();
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() throws IOException {
    loop.close();
    for (Closeable r : relays) {
      r.close();
    }
  }

  /** Starts a relay that closes each connection after the request or answers with a field. */
  private String relay(String answer) {
    return answer.equals("absent") ? absentRelay() : startRelay(answer);
  }

  /** Returns an address that refuses connections and that no other relay gets meanwhile. */
  private String absentRelay() {
    try {
      Socket unconnected = new Socket();
      relays.add(unconnected);
      unconnected.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return "127.0.0.1:" + unconnected.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String startRelay(String answer) {
    try {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      relays.add(server);
      Thread t = new Thread(() -> serve(server, answer), "relay");
      t.setDaemon(true);
      t.start();
      return "127.0.0.1:" + server.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void serve(ServerSocket server, String answer) {
    try (Socket s = server.accept()) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
      String ticket = "";
      for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
        ticket = line.startsWith("Relay-Upstream: ") ? line.substring(16) : ticket;
      }
      received.add(ticket.replaceFirst("^[^ ]+", "*"));
      if (!answer.equals("close")) {
        String nonce = ticket.split(" ", -1)[0];
        String text = answer.equals("pass") ? "A: b" : "Relay-Refused: " + answer;
        s.getOutputStream()
            .write(
                ("HTTP/1.1 503 x\r\n" + text.replace("*", nonce) + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
        s.getOutputStream().flush();
      }
    } catch (IOException e) {
      received.add(e.toString());
    }
  }

  private void sendIsolated(List<String> addresses) {
    UpstreamPaths paths = paths();
    paths.onPeers(addresses);
    paths.onConnectFailed("u");
    send(paths, UPSTREAM);
  }

  private UpstreamPaths paths() {
    return new UpstreamPaths(
        new EventLoopScheduler(loop.eventloop()),
        () -> List.of(UPSTREAM),
        a -> CompletableFuture.completedFuture(false),
        () -> {},
        new AtomicLong()::get,
        (e, f) -> {});
  }

  private void send(UpstreamPaths paths, UpstreamEntry upstream) {
    CallerRequest caller =
        new CallerRequest(
            "id",
            "POST",
            "h",
            "/a",
            "/a",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            List.of(),
            new byte[0]);
    new UpstreamCall(
            new AsyncHttpClient(loop.eventloop(), Duration.ofMillis(300)),
            paths,
            upstream,
            new UpstreamRequest(caller, "", 5_000, 0, ""),
            List.of(),
            new RecordingListener(),
            new RecordingSink())
        .start();
  }

  private final class RecordingListener implements UpstreamCall.Listener {

    @Override
    public void onConnected() {
      received.add("connected");
    }

    @Override
    public void onResponse(HttpResponse response, ResponseBodyReader body) {
      response.takeBodyStream().close();
      received.add("response " + response.getCode());
    }
  }

  private final class RecordingSink implements ResponseBodyReader.Sink {

    @Override
    public void onBytes(byte[] bytes) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(AttemptOutcome outcome, String reason) {
      received.add(outcome.name());
    }
  }

  /** Guards against a request that is taken for accepted by an upstream that was not reached. */
  @ParameterizedTest
  @CsvSource({"pass, 'connected,*,response 503'", "absent, NO_PATH"})
  void tellsWhenTheUpstreamItselfIsReached(String answer, String expected) throws Exception {
    UpstreamEntry upstream = new UpstreamEntry("u", "s", relay(answer), "d", false, 4, 7);
    loop.run(() -> send(paths(), upstream));
    List<String> events = new ArrayList<>();
    while (events.isEmpty() || events.size() < expected.split(",").length) {
      events.add(received.poll(5, TimeUnit.SECONDS));
    }
    assertThat(events).containsExactlyInAnyOrder(expected.replace("*", "").split(",", -1));
  }

  /**
   * Guards against work that runs twice, because a response of an upstream or a lost connection is
   * taken for the statement of a relay that nothing was sent, and against an upstream that is
   * blamed for a relay. The third relay is never asked.
   */
  @ParameterizedTest
  @CsvSource({
    "pass, pass, 1, response 503",
    "* isolated, pass, 2, response 503",
    "* unknown, * isolated, 2, NO_PATH",
    "* unreachable, * unreachable, 2, NOT_SENT",
    "absent, pass, 1, response 503",
    "absent, absent, 0, NO_PATH",
    "close, pass, 1, BROKEN",
    "other isolated, pass, 1, response 503"
  })
  void asksOneMoreRelayOnlyIfNothingWasSent(String first, String second, int asked, String outcome)
      throws Exception {
    List<String> addresses = List.of(relay(first), relay(second), relay("pass"));
    loop.run(() -> sendIsolated(addresses));
    for (int i = 0; i < asked; i++) {
      assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo("* 7 u");
    }
    assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(outcome);
  }
}
