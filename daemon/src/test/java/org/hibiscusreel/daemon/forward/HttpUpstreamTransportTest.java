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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.HttpCalls;
import org.hibiscusreel.daemon.loop.RawServer;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpUpstreamTransportTest {

  private static final String OK = "HTTP/1.1 200 OK\r\nOwn: yes\r\n";

  private final TestLoop loop = new TestLoop();
  private final HttpUpstreamTransport transport =
      loop.get(
          () ->
              new HttpUpstreamTransport(
                  new HttpCalls(loop.eventloop(), false, Duration.ofMillis(300)), new Dialect()));
  private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();

  private static final class Dialect implements UpstreamDialect {

    @Override
    public List<HeaderField> fields(UpstreamEntry upstream, UpstreamTransport.Outgoing request) {
      return List.of(new HeaderField("Expect-Id", upstream.id()));
    }

    @Override
    public Verdict judge(UpstreamTransport.Outgoing request, int status, List<HeaderField> fields) {
      if (status == 503) {
        return new Verdict.Unusable(AttemptOutcome.NOT_EXECUTED, "full");
      }
      boolean own = fields.stream().anyMatch(f -> f.name().equalsIgnoreCase("Own"));
      return own
          ? new Verdict.Usable(fields)
          : new Verdict.Unusable(AttemptOutcome.BROKEN, "not its own");
    }
  }

  private final UpstreamTransport.Listener listener =
      new UpstreamTransport.Listener() {
        @Override
        public void onHead(int status, List<HeaderField> fields) {
          seen.add("head " + status);
        }

        @Override
        public void onBytes(byte[] bytes) {
          seen.add("bytes " + new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
          seen.add("end");
        }

        @Override
        public void onFailure(AttemptOutcome outcome, String reason) {
          seen.add("failure " + outcome);
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
        () -> transport.send(u, new UpstreamTransport.Outgoing(caller, "", 500, 0, ""), listener));
  }

  /** Returns what was heard up to the ending, with the pieces of the body joined. */
  private String heard() throws InterruptedException {
    StringBuilder all = new StringBuilder();
    while (true) {
      String s = seen.poll(10, TimeUnit.SECONDS);
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

  private static RawServer.Behaviour raw(String answer) {
    return (line, socket, out) -> out.write(answer.getBytes(StandardCharsets.UTF_8));
  }

  private String heardFrom(String answer) throws Exception {
    try (RawServer server = new RawServer(raw(answer))) {
      send(server.address());
      return heard();
    }
  }

  @Test
  void passesOnWholeAnswerAndTheTargetUnchanged() throws Exception {
    try (RawServer server = new RawServer(raw(OK + "Content-Length: 5\r\n\r\nhello"))) {
      send(server.address());
      assertThat(heard()).isEqualTo("[head 200]hello[end]");
      assertThat(server.requestLines()).containsExactly("POST /a/b?c=%2Fd HTTP/1.1");
    }
  }

  /** Guards against bytes after an answer that are taken for a part of it. */
  @Test
  void ignoresBytesAfterWholeAnswer() throws Exception {
    String answer = OK + "Content-Length: 5\r\n\r\nhello" + OK + "Content-Length: 3\r\n\r\nbad";
    assertThat(heardFrom(answer)).isEqualTo("[head 200]hello[end]");
  }

  /** Guards against a truncated answer that looks complete. */
  @Test
  void reportsTruncatedAnswer() throws Exception {
    assertThat(heardFrom(OK + "Content-Length: 50\r\n\r\nhello"))
        .isEqualTo("[head 200]hello[failure BROKEN]");
    assertThat(heardFrom(OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"))
        .isEqualTo("[head 200]hello[failure BROKEN]");
  }

  @Test
  void takesAnAnswerThatEndsWithItsConnection() throws Exception {
    assertThat(heardFrom(OK + "Connection: close\r\n\r\nhello")).isEqualTo("[head 200]hello[end]");
  }

  /** Guards against an answer without a length whose connection was reset. */
  @Test
  void reportsAnUnframedAnswerThatIsReset() throws Exception {
    RawServer.Behaviour reset =
        (line, socket, out) -> {
          out.write((OK + "Connection: close\r\n\r\nhello").getBytes(StandardCharsets.UTF_8));
          out.flush();
          Thread.sleep(100);
          socket.setSoLinger(true, 0);
          socket.close();
        };
    try (RawServer server = new RawServer(reset)) {
      send(server.address());
      assertThat(heard()).isEqualTo("[head 200]hello[failure BROKEN]");
    }
  }

  @Test
  void reportsBytesThatAreNoAnswer() throws Exception {
    assertThat(heardFrom("\u0001\u0002 what is this\r\n\r\n")).isEqualTo("[failure BROKEN]");
    assertThat(heardFrom("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
        .isEqualTo("[failure BROKEN]");
  }

  @Test
  void tellsWhatWasNotExecutedFromWhatMayHaveRun() throws Exception {
    assertThat(heardFrom("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
        .isEqualTo("[failure NOT_EXECUTED]");
    assertThat(heardFrom("")).isEqualTo("[failure BROKEN]");
    int free;
    try (ServerSocket s = new ServerSocket(0)) {
      free = s.getLocalPort();
    }
    send("127.0.0.1:" + free);
    assertThat(heard()).isEqualTo("[failure NOT_SENT]");
  }

  /** Guards against work of an upstream for a caller that is gone. */
  @Test
  void closesTheConnectionWhenCancelled() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    RawServer.Behaviour wait =
        (line, socket, out) -> {
          out.write((OK + "Content-Length: 9\r\n\r\nhe").getBytes(StandardCharsets.UTF_8));
          out.flush();
          awaitEnd(socket);
          closed.countDown();
        };
    try (RawServer server = new RawServer(wait)) {
      UpstreamTransport.Exchange exchange = send(server.address());
      assertThat(seen.poll(10, TimeUnit.SECONDS)).isEqualTo("head 200");
      loop.run(exchange::cancel);
      assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
      seen.remove("bytes he");
      assertThat(seen).isEmpty();
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
