package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.core.config.SocketAddresses;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.PauseRequest;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.RawServer;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpUpstreamTransportTest {

  private static final String OK = "HTTP/1.1 200 OK\r\nOwn: yes\r\n";

  private final TestLoop loop = new TestLoop();
  private final HttpUpstreamTransport transport =
      loop.get(
          () ->
              new HttpUpstreamTransport(
                  new AsyncHttpClient(loop.eventloop(), Duration.ofMillis(300)),
                  new Dialect(),
                  new UpstreamPaths(
                      new EventLoopScheduler(loop.eventloop()),
                      List::of,
                      a -> CompletableFuture.completedFuture(false),
                      () -> {},
                      () -> 0,
                      (e, f) -> {})));
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  private static final class Dialect implements UpstreamDialect {

    @Override
    public List<HeaderField> headerFields(
        UpstreamEntry upstream, UpstreamTransport.UpstreamRequest request) {
      return List.of(new HeaderField("Expect-Id", upstream.id()));
    }

    @Override
    public Optional<UpstreamNotice> notice(int status, List<HeaderField> fields) {
      return fields.stream()
          .filter(f -> f.name().equalsIgnoreCase("Limit"))
          .map(f -> RequestLimit.parse(Optional.of(f.value())))
          .map(l -> new UpstreamNotice(l, false, new PauseRequest.None()))
          .findFirst();
    }

    @Override
    public ResponseCheck checkResponse(
        UpstreamTransport.UpstreamRequest request, int status, List<HeaderField> fields) {
      if (status == 503) {
        return new ResponseCheck.Rejected(AttemptOutcome.NOT_EXECUTED, "full");
      }
      boolean own = fields.stream().anyMatch(f -> f.name().equalsIgnoreCase("Own"));
      return own
          ? new ResponseCheck.Accepted(fields)
          : new ResponseCheck.Rejected(AttemptOutcome.BROKEN, "not its own");
    }
  }

  private final UpstreamTransport.Listener listener =
      new UpstreamTransport.Listener() {
        @Override
        public void onNotice(UpstreamNotice notice) {
          received.add(notice.limit().toString());
        }

        @Override
        public void onHead(int status, List<HeaderField> fields) {
          received.add("head " + status);
        }

        @Override
        public void onBytes(byte[] bytes) {
          received.add("bytes " + new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
          received.add("end");
        }

        @Override
        public void onFailure(AttemptOutcome outcome, String reason) {
          received.add("failure " + outcome);
        }
      };

  @AfterEach
  void stop() {
    loop.close();
  }

  private UpstreamTransport.Exchange send(String address) {
    CallerRequest caller =
        new CallerRequest(
            "id",
            "POST",
            "h",
            "/a/b?c=%2Fd",
            "/a/b",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            List.of(),
            "body".getBytes(StandardCharsets.UTF_8));
    UpstreamEntry u = new UpstreamEntry("u", "s", address, "d", false, 1, 0);
    return loop.get(
        () ->
            transport.send(
                u, new UpstreamTransport.UpstreamRequest(caller, "", 500, 0, ""), listener));
  }

  /** Returns the events up to the end or failure, with the parts of the body joined. */
  private String receivedEvents() throws InterruptedException {
    StringBuilder all = new StringBuilder();
    while (true) {
      String s = received.poll(10, TimeUnit.SECONDS);
      assertThat(s).isNotNull();
      if (s.startsWith("bytes ")) {
        all.append(s.substring(6));
      } else {
        all.append('[').append(s).append(']');
      }
      if (s.equals("end") || s.startsWith("failure")) {
        return all.toString();
      }
    }
  }

  private static RawServer.Handler raw(String answer) {
    return (line, socket, out) -> out.write(answer.getBytes(StandardCharsets.UTF_8));
  }

  private String receivedEventsFrom(String answer) throws Exception {
    try (RawServer server = new RawServer(raw(answer))) {
      send(server.address());
      return receivedEvents();
    }
  }

  @Test
  void passesOnCompleteResponseAndUnchangedTarget() throws Exception {
    try (RawServer server = new RawServer(raw(OK + "Content-Length: 5\r\n\r\nhello"))) {
      send(server.address());
      assertThat(receivedEvents()).isEqualTo("[head 200]hello[end]");
      assertThat(server.requestLines()).containsExactly("POST /a/b?c=%2Fd HTTP/1.1");
    }
  }

  /** Guards against an exception in place of an attempt that was not sent. */
  @ParameterizedTest
  @ValueSource(strings = {"[::1]:1", "127.0.0.1:1", "127.000.000.001:00001"})
  void reportsUnreachableAddressesThatAreValidAsNotSent(String address) throws Exception {
    assertThat(SocketAddresses.isIpAndPort(address)).isTrue();
    send(address);
    assertThat(receivedEvents()).isEqualTo("[failure NOT_SENT]");
  }

  /** Guards against a limit that is missed because the request was not run. */
  @Test
  void reportsLimitOfEachResponse() throws Exception {
    assertThat(receivedEventsFrom(OK + "Limit: 1.5\r\nContent-Length: 2\r\n\r\nhi"))
        .isEqualTo("[Limited[perSecond=1.5]][head 200]hi[end]");
    assertThat(receivedEventsFrom("HTTP/1.1 503 No\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n"))
        .isEqualTo("[Limited[perSecond=2.0]][failure NOT_EXECUTED]");
  }

  /** Guards against a limit that is taken from a head whose fields can't be told apart. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nOwn: yes\r\nLimit: 2\r\nX Y: z\r\nContent-Length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nOwn: yes\r\nLimit: 2\r\nContent-Length :\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nwhat is this\r\nOwn: yes\r\nLimit: 2\r\n\r\nhi",
        "HTTP/1.1 000 OK\r\nOwn: yes\r\nLimit: 2\r\nContent-Length: 2\r\n\r\nhi",
        "HTTP/1.1 503 No\r\nLimit: 2\r\nX: \0\r\nContent-Length: 0\r\n\r\n"
      })
  void takesNoNoticeFromInvalidHead(String answer) throws Exception {
    assertThat(receivedEventsFrom(answer)).isEqualTo("[failure BROKEN]");
  }

  /**
   * Guards against a body that looks complete, or is lost as a whole, because a chunk is invalid.
   */
  @Test
  void deliversBodyThatCameBeforeInvalidChunk() throws Exception {
    RawServer.Handler handler =
        (line, socket, out) -> {
          String begin = OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
          out.write(begin.getBytes(StandardCharsets.UTF_8));
          out.flush();
          Thread.sleep(100);
          out.write("what is this".getBytes(StandardCharsets.UTF_8));
        };
    try (RawServer server = new RawServer(handler)) {
      send(server.address());
      assertThat(receivedEvents()).isEqualTo("[head 200]hello[failure BROKEN]");
    }
  }

  /** Guards against treating bytes after the response as part of it. */
  @Test
  void ignoresBytesAfterCompleteResponse() throws Exception {
    String answer = OK + "Content-Length: 5\r\n\r\nhello" + OK + "Content-Length: 3\r\n\r\nbad";
    assertThat(receivedEventsFrom(answer)).isEqualTo("[head 200]hello[end]");
  }

  /** Guards against a truncated response that looks complete. */
  @Test
  void reportsTruncatedResponse() throws Exception {
    assertThat(receivedEventsFrom(OK + "Content-Length: 50\r\n\r\nhello"))
        .isEqualTo("[head 200]hello[failure BROKEN]");
    assertThat(receivedEventsFrom(OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"))
        .isEqualTo("[head 200]hello[failure BROKEN]");
  }

  @Test
  void acceptsResponseThatEndsWithItsConnection() throws Exception {
    assertThat(receivedEventsFrom(OK + "Connection: close\r\n\r\nhello"))
        .isEqualTo("[head 200]hello[end]");
  }

  /** Guards against a crash right after the head that looks like a complete response. */
  @Test
  void reportsResponseWithoutLengthThatEndsBeforeItsBody() throws Exception {
    assertThat(receivedEventsFrom(OK + "Connection: close\r\n\r\n"))
        .isEqualTo("[head 200][failure BROKEN]");
    assertThat(receivedEventsFrom(OK + "Content-Length: 0\r\n\r\n")).isEqualTo("[head 200][end]");
    assertThat(receivedEventsFrom(OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
        .isEqualTo("[head 200][end]");
  }

  /** Guards against treating a reset connection as the end of a response without a length. */
  @Test
  void reportsResponseWithoutLengthThatIsReset() throws Exception {
    RawServer.Handler reset =
        (line, socket, out) -> {
          out.write((OK + "Connection: close\r\n\r\nhello").getBytes(StandardCharsets.UTF_8));
          out.flush();
          Thread.sleep(100);
          socket.setSoLinger(true, 0);
          socket.close();
        };
    try (RawServer server = new RawServer(reset)) {
      send(server.address());
      assertThat(receivedEvents()).isEqualTo("[head 200]hello[failure BROKEN]");
    }
  }

  @Test
  void reportsMalformedResponses() throws Exception {
    assertThat(receivedEventsFrom("\u0001\u0002 what is this\r\n\r\n"))
        .isEqualTo("[failure BROKEN]");
    assertThat(receivedEventsFrom("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
        .isEqualTo("[failure BROKEN]");
  }

  @Test
  void distinguishesNotExecutedFromPossiblyExecuted() throws Exception {
    assertThat(receivedEventsFrom("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
        .isEqualTo("[failure NOT_EXECUTED]");
    assertThat(receivedEventsFrom("")).isEqualTo("[failure BROKEN]");
    int free;
    try (ServerSocket s = new ServerSocket(0)) {
      free = s.getLocalPort();
    }
    send("127.0.0.1:" + free);
    assertThat(receivedEvents()).isEqualTo("[failure NOT_SENT]");
  }

  /** Guards against upstreams that keep working after the request was cancelled. */
  @Test
  void closesTheConnectionWhenCancelled() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    RawServer.Handler wait =
        (line, socket, out) -> {
          out.write((OK + "Content-Length: 9\r\n\r\nhe").getBytes(StandardCharsets.UTF_8));
          out.flush();
          awaitEnd(socket);
          closed.countDown();
        };
    try (RawServer server = new RawServer(wait)) {
      UpstreamTransport.Exchange exchange = send(server.address());
      assertThat(received.poll(10, TimeUnit.SECONDS)).isEqualTo("head 200");
      loop.run(exchange::cancel);
      assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
      received.remove("bytes he");
      assertThat(received).isEmpty();
    }
  }

  /** Guards against memory that grows with bytes that never become the head of a response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "x",
        "HTTP/1.1 200 OK\r\nOwn: y|e",
        "HTTP/1.1 200 OK\r\n|Own: yes\r\n",
        "|HTTP/1.1 100 Continue\r\n\r\n"
      })
  void endsResponseWhoseHeadHasNoEnd(String headAndRepetition) throws Exception {
    assertThat(receivedFromEndless(headAndRepetition)).endsWith("[failure BROKEN]");
  }

  /** Guards against memory that grows with bytes that never become a chunk of a body. */
  @ParameterizedTest
  @ValueSource(strings = {"|0", "5;|x", "0\r\n|Trailer: x\r\n"})
  void endsResponseWhoseChunkHeadHasNoEnd(String chunkAndRepetition) throws Exception {
    assertThat(receivedFromEndless(OK + "Transfer-Encoding: chunked\r\n\r\n" + chunkAndRepetition))
        .endsWith("[failure BROKEN]");
  }

  private String receivedFromEndless(String headAndRepetition) throws Exception {
    int bar = headAndRepetition.indexOf('|');
    String head = headAndRepetition.substring(0, Math.max(0, bar));
    byte[] repeated =
        headAndRepetition.substring(bar + 1).repeat(1_000).getBytes(StandardCharsets.UTF_8);
    CountDownLatch closed = new CountDownLatch(1);
    RawServer.Handler endless =
        (line, socket, out) -> {
          out.write(head.getBytes(StandardCharsets.UTF_8));
          try {
            while (true) {
              out.write(repeated);
            }
          } catch (IOException e) {
            closed.countDown();
            throw e;
          }
        };
    try (RawServer server = new RawServer(endless)) {
      send(server.address());
      String events = receivedEvents();
      assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
      return events;
    }
  }

  private static void awaitEnd(Socket socket) {
    try {
      socket.getInputStream().skip(Long.MAX_VALUE);
    } catch (IOException e) {
      // A reset ends the connection as well.
      assertThat(e).isNotNull();
    }
  }
}
