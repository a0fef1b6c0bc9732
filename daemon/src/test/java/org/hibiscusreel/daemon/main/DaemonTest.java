package org.hibiscusreel.daemon.main;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.coordination.request.AnswerListener;
import org.hibiscusreel.daemon.caller.FakeRequestService;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DaemonTest {

  private static final String CHAT =
      "{\"model\":\"writer\",\"stream\":true,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  private final TestLoop loop = new TestLoop();
  private final FakeRequestService requests = new FakeRequestService();
  private final CompletableFuture<Void> nodeStopped = new CompletableFuture<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private Daemon daemon;

  @AfterEach
  void stop() {
    if (daemon != null) {
      daemon.releasePeerPort();
    }
    loop.close();
  }

  private Object answer(String method) {
    return switch (method) {
      case "start" -> CompletableFuture.completedFuture(null);
      case "stop" -> nodeStopped;
      case "requests", "configuration" -> requests;
      case "peerHandler" -> fake(PeerHandler.class);
      case "isReady" -> true;
      case "status" -> Map.of("fake", true);
      case "billsBuffered" -> 3;
      default -> throw new UnsupportedOperationException(method);
    };
  }

  private <T> T fake(Class<T> type) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(), new Class<?>[] {type}, (p, m, a) -> answer(m.getName())));
  }

  private static DaemonSettings settings(int peerPort) {
    InetAddress ip = InetAddress.getLoopbackAddress();
    InetSocketAddress any = new InetSocketAddress(ip, 0);
    String platform = "http://127.0.0.1:1";
    return new DaemonSettings(
        new DaemonSettings.Host("h", "d", "s"),
        new DaemonSettings.Listen(any, any, new InetSocketAddress(ip, peerPort)),
        new DaemonSettings.Platform(platform, platform, platform),
        new DaemonSettings.Peers(List.of()),
        new DaemonSettings.Limits(1000, 10, 100, 1000),
        new DaemonSettings.Log(DaemonSettings.Level.INFO),
        null);
  }

  private Daemon start(int peerPort) throws Exception {
    CompletableFuture<Daemon> started = new CompletableFuture<>();
    loop.eventloop()
        .execute(
            () -> {
              try {
                started.complete(
                    Daemon.start(
                        settings(peerPort),
                        "h-1",
                        (s, p) -> fake(NodeHandle.class),
                        loop.eventloop()));
              } catch (Exception e) {
                started.completeExceptionally(e);
              }
            });
    return started.get(10, TimeUnit.SECONDS);
  }

  private HttpResponse<String> admin(String path) throws Exception {
    URI u = URI.create("http://127.0.0.1:" + daemon.adminPort() + path);
    return client.send(HttpRequest.newBuilder(u).build(), BodyHandlers.ofString());
  }

  @Test
  void adminServiceShowsState() throws Exception {
    daemon = start(0);

    assertThat(admin("/livez").statusCode()).isEqualTo(200);
    assertThat(admin("/readyz").statusCode()).isEqualTo(200);
    assertThat(admin("/metrics").body()).contains("\"bills_buffered\":3", "\"in_progress\":0");
    assertThat(admin("/status").body()).contains("\"incarnation\":\"h-1\"", "\"fake\":true");
    assertThat(admin("/events?after=x").statusCode()).isEqualTo(400);
    assertThat(admin("/events?after=0").body()).contains("\"events\":[]");
  }

  /** Guards against a planned stop that interrupts an answer. */
  @Test
  void gracefulStopFinishesStreamsInProgress() throws Exception {
    daemon = start(0);
    AtomicReference<AnswerListener> listener = new AtomicReference<>();
    requests.onModel =
        (r, l) -> {
          l.onPiece("hel");
          listener.set(l);
        };
    URI u = URI.create("http://127.0.0.1:" + daemon.callerPort() + "/v1/chat/completions");
    HttpRequest chat =
        HttpRequest.newBuilder(u)
            .header("Authorization", "Bearer " + FakeRequestService.KEY)
            .POST(HttpRequest.BodyPublishers.ofString(CHAT))
            .build();
    final HttpResponse<InputStream> response = client.send(chat, BodyHandlers.ofInputStream());

    CompletableFuture<Void> stopped = loop.get(daemon::stop);

    assertThat(admin("/readyz").statusCode()).isEqualTo(503);
    assertThat(requests.isStopped()).isTrue();
    assertThat(stopped).isNotDone();
    loop.run(
        () -> {
          listener.get().onPiece("lo");
          listener.get().onComplete(FakeRequestService.end("hello"));
          nodeStopped.complete(null);
        });
    assertThat(new String(response.body().readAllBytes(), StandardCharsets.UTF_8))
        .endsWith("data: [DONE]\n\n");
    stopped.get(10, TimeUnit.SECONDS);
  }

  /** Guards against a second daemon that starts on the same host while the first is alive. */
  @Test
  void secondDaemonOnThePeerPortCannotStart() throws Exception {
    daemon = start(0);

    assertThatThrownBy(() -> start(daemon.peerPort())).hasRootCauseInstanceOf(Exception.class);
  }
}
