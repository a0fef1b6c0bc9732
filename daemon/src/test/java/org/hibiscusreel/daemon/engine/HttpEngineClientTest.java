package org.hibiscusreel.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.EngineCall;
import org.hibiscusreel.coordination.port.EngineEnd;
import org.hibiscusreel.coordination.port.EngineFailure;
import org.hibiscusreel.coordination.port.EngineListener;
import org.hibiscusreel.coordination.port.EngineRequest;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.loop.RawServer;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpEngineClientTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String LAST =
      "id: 2\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
          + "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n";

  private final TestLoop loop = new TestLoop();
  private final HttpEngineClient client =
      loop.get(() -> new HttpEngineClient(new AsyncHttpClient(loop.eventloop()), 500));
  private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
  private final EngineListener listener =
      new EngineListener() {
        @Override
        public void onPiece(long offset, String text) {
          received.add(offset + ":" + text);
        }

        @Override
        public void onEnd(EngineEnd end) {
          received.add(end);
        }

        @Override
        public void onFailure(EngineFailure failure) {
          received.add(failure);
        }
      };

  @AfterEach
  void stop() {
    loop.close();
  }

  private static String piece(int offset, String text) {
    return "id: "
        + offset
        + "\ndata: {\"choices\":[{\"delta\":{\"content\":\""
        + text
        + "\"}}]}\n\n";
  }

  private static Upstream upstream(String address) {
    return new Upstream("e", UpstreamKind.ENGINE, address, "d", "s", List.of("m"), 1, true, false);
  }

  private EngineCall start(String address) {
    DispatchMetadata m =
        new DispatchMetadata("a", "r", "b", "h", "s", "v", 1, "site", "f", 1, 1, "m");
    EngineRequest r = new EngineRequest("i.1", "{}".getBytes(StandardCharsets.UTF_8), m, 0);
    return loop.get(() -> client.start(upstream(address), r, listener));
  }

  private Object next() throws InterruptedException {
    return received.poll(10, TimeUnit.SECONDS);
  }

  private static RawServer serving(String text) throws Exception {
    return new RawServer(
        (line, socket, out) -> out.write((HEAD + text).getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void deliversPiecesAndTheEndMark() throws Exception {
    String text = piece(0, "un") + piece(1, "é") + LAST + "data: [DONE]\n\n";
    try (RawServer s = serving(text)) {
      start(s.address());

      assertThat(next()).isEqualTo("0:un");
      assertThat(next()).isEqualTo("1:é");
      assertThat(next()).isEqualTo(new EngineEnd(2, "stop", 3, 2));
    }
  }

  /** Guards against a partial answer that is reported as complete. */
  @Test
  void streamWithoutItsEndMarkIsBroken() throws Exception {
    try (RawServer s = serving(piece(0, "un") + LAST)) {
      start(s.address());

      assertThat(next()).isEqualTo("0:un");
      assertThat(next()).isInstanceOf(EngineFailure.Broken.class);
    }
    try (RawServer s = serving(piece(0, "un") + "data: [DONE]\n\n")) {
      start(s.address());

      assertThat(next()).isEqualTo("0:un");
      assertThat(next()).isInstanceOf(EngineFailure.Broken.class);
    }
  }

  /** Guards against a generation that is reported as not started although it may have run. */
  @ParameterizedTest
  @CsvSource({
    "429 Too Many Requests, NotStarted",
    "503 Service Unavailable, NotStarted",
    "400 Bad Request, Rejected",
    "500 Internal Server Error, Broken"
  })
  void mapsTheStatusOfRefusals(String status, String failure) throws Exception {
    try (RawServer s = new RawServer(RawServer.respond(status, "why"))) {
      start(s.address());

      assertThat(next().getClass().getSimpleName()).isEqualTo(failure);
    }
  }

  /** Guards against a head that is invalid and is taken for a refusal or for a stream. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 429 Slow\r\nRetry After: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 400 Bad\r\nContent-Length: 2\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\n",
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"
      })
  void reportsInvalidHeadAsBroken(String head) throws Exception {
    byte[] response =
        (head + piece(0, "un") + LAST + "data: [DONE]\n\n").getBytes(StandardCharsets.UTF_8);
    try (RawServer s = new RawServer((line, socket, out) -> out.write(response))) {
      start(s.address());

      assertThat(next()).isInstanceOf(EngineFailure.Broken.class);
    }
  }

  @Test
  void tellsRefusedConnectionsFromBrokenOnes() throws Exception {
    int port;
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    start("127.0.0.1:" + port);
    assertThat(next()).isInstanceOf(EngineFailure.NotStarted.class);

    try (RawServer s = new RawServer((line, socket, out) -> socket.close())) {
      start(s.address());
      assertThat(next()).isInstanceOf(EngineFailure.Broken.class);
    }
  }

  @Test
  void resumesByOffsetAndReportsLostStreams() throws Exception {
    try (RawServer s = serving(piece(1, "é") + LAST + "data: [DONE]\n\n")) {
      loop.run(() -> client.resume(upstream(s.address()), "i.1", 1, listener));

      assertThat(next()).isEqualTo("1:é");
      assertThat(next()).isInstanceOf(EngineEnd.class);
      assertThat(s.requestLines()).containsExactly("GET /v1/streams/i.1?offset=1 HTTP/1.1");
    }
    try (RawServer s = new RawServer(RawServer.respond("404 Not Found", ""))) {
      loop.run(() -> client.resume(upstream(s.address()), "i.1", 1, listener));

      assertThat(next()).isInstanceOf(EngineFailure.StreamLost.class);
    }
  }

  @Test
  void cancelEndsTheStreamAtTheEngine() throws Exception {
    try (RawServer s =
        new RawServer(
            (line, socket, out) -> {
              out.write((HEAD + piece(0, "un")).getBytes(StandardCharsets.UTF_8));
              out.flush();
              Thread.sleep(1000);
            })) {
      EngineCall call = start(s.address());
      assertThat(next()).isEqualTo("0:un");

      loop.run(call::cancel);

      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      while (s.requestLines().size() < 2 && System.nanoTime() < until) {
        Thread.sleep(10);
      }
      assertThat(s.requestLines()).contains("DELETE /v1/streams/i.1 HTTP/1.1");
      assertThat(received).isEmpty();
    }
  }

  /** Guards against unbounded buffering when an engine is read although the call is paused. */
  @Test
  void pauseStopsReadingFromTheEngine() throws Exception {
    AtomicLong written = new AtomicLong();
    byte[] chunk = piece(0, "x".repeat(10_000)).getBytes(StandardCharsets.UTF_8);
    final int total = 4000;
    try (RawServer s =
        new RawServer(
            (line, socket, out) -> {
              out.write(HEAD.getBytes(StandardCharsets.UTF_8));
              for (int i = 0; i < total; i++) {
                out.write(chunk);
                written.incrementAndGet();
              }
            })) {
      EngineCall call = start(s.address());
      loop.run(call::pause);
      Thread.sleep(1000);
      final long whilePaused = written.get();
      received.clear();
      Thread.sleep(300);

      assertThat(received).isEmpty();
      assertThat(whilePaused).isLessThan(total).isEqualTo(written.get());
      loop.run(call::resumeReading);
      for (Object last = ""; !(last instanceof EngineFailure); ) {
        last = next();
        assertThat(last).isNotNull();
      }
      assertThat(written).hasValue(total);
    }
  }
}
