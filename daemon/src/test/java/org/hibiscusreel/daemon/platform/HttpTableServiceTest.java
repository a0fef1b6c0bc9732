package org.hibiscusreel.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.loop.RawServer;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpTableServiceTest {

  private static final long TIMEOUT_MILLIS = 1000;
  private static final int TOO_LARGE_BYTES = 17 * 1024 * 1024;

  private final TestLoop loop = new TestLoop();
  private final List<String> calls = new ArrayList<>();

  @AfterEach
  void stop() {
    loop.close();
  }

  private HttpTableService client(String address) {
    return loop.get(
        () ->
            new HttpTableService(
                new AsyncHttpClient(loop.eventloop()),
                "http://" + address,
                TIMEOUT_MILLIS,
                calls::add));
  }

  private WriteResult write(String address) {
    HttpTableService c = client(address);
    return loop.await(() -> c.transact(List.of(Mutation.insert("a", "{}"))));
  }

  /** Guards against reporting an unknown outcome as certain, or the reverse. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "200 OK|{\"versions\":[7]}|Committed",
        "200 OK|{\"versions\"|Unknown",
        "200 OK|{}|Unknown",
        "409 Conflict|{\"conflicts\":[{\"key\":\"a\",\"version\":3,\"value\":\"x\"}]}|Conflict",
        "409 Conflict|nonsense|Unknown",
        "429 Too Many Requests|{}|NotApplied",
        "503 Service Unavailable|{}|NotApplied",
        "500 Internal Server Error|{}|Unknown",
        "504 Gateway Timeout|{}|Unknown",
      })
  void mapsTheStatusOfWrites(String status, String body, String outcome) throws Exception {
    try (RawServer s = new RawServer(RawServer.respond(status, body))) {
      assertThat(write(s.address()).getClass().getSimpleName()).isEqualTo(outcome);
      assertThat(calls).containsExactly("transact." + outcome);
    }
  }

  /** Guards against a write without an outcome, because its response is too large to be read. */
  @Test
  void reportsTooLargeResponseAsUnknown() throws Exception {
    try (RawServer s = new RawServer(RawServer.respondWithoutLength(TOO_LARGE_BYTES))) {
      assertThat(write(s.address())).isInstanceOf(WriteResult.Unknown.class);
    }
  }

  @Test
  void refusedConnectionIsCertainlyNotApplied() throws Exception {
    int port;
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }

    assertThat(write("127.0.0.1:" + port)).isInstanceOf(WriteResult.NotApplied.class);
  }

  /** Guards also against connections that stay open after the call timed out. */
  @Test
  void silentServerLeavesTheOutcomeUnknown() throws Exception {
    CompletableFuture<Boolean> closed = new CompletableFuture<>();
    try (RawServer s =
        new RawServer(
            (line, socket, out) -> {
              socket.getInputStream().skip(Long.MAX_VALUE);
              closed.complete(true);
            })) {
      assertThat(write(s.address())).isInstanceOf(WriteResult.Unknown.class);
      assertThat(closed.get(5, TimeUnit.SECONDS)).isTrue();
    }
  }

  /**
   * Guards against a write that counts as committed because the response of an earlier one arrived
   * twice: responses carry no identifier.
   */
  @Test
  void repeatedResponseIsNotTheOutcomeOfTheNextWrite() throws Exception {
    String committed = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"versions\":[7]}";
    AtomicInteger connections = new AtomicInteger();
    RawServer.Handler handler =
        (line, socket, out) -> {
          if (connections.incrementAndGet() == 1) {
            out.write((committed + committed).getBytes(StandardCharsets.UTF_8));
            socket.getInputStream().skip(Long.MAX_VALUE);
          } else {
            RawServer.respond("503 Service Unavailable", "{}").handle(line, socket, out);
          }
        };
    try (RawServer s = new RawServer(handler)) {
      HttpTableService c = client(s.address());
      List<Mutation> write = List.of(Mutation.insert("a", "{}"));
      assertThat(loop.await(() -> c.transact(write))).isInstanceOf(WriteResult.Committed.class);
      assertThat(loop.await(() -> c.transact(write))).isInstanceOf(WriteResult.NotApplied.class);
    }
  }

  @Test
  void brokenConnectionLeavesTheOutcomeUnknown() throws Exception {
    try (RawServer s = new RawServer((line, socket, out) -> socket.close())) {
      assertThat(write(s.address())).isInstanceOf(WriteResult.Unknown.class);
    }
  }

  @Test
  void partialAnswerLeavesTheOutcomeUnknown() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"versions\":[1]}";
    try (RawServer s =
        new RawServer((line, socket, out) -> out.write(head.getBytes(StandardCharsets.UTF_8)))) {
      assertThat(write(s.address())).isInstanceOf(WriteResult.Unknown.class);
    }
  }

  @Test
  void readsRowsAndFailures() throws Exception {
    String body = "{\"rows\":[{\"key\":\"k\",\"version\":2,\"value\":\"v\"}],\"more\":true}";
    try (RawServer s = new RawServer(RawServer.respond("200 OK", body))) {
      HttpTableService c = client(s.address());
      assertThat(loop.await(() -> c.scan("k", "", 1)))
          .isEqualTo(new ReadResult.Rows(List.of(new Row("k", 2, "v")), true));
    }
    try (RawServer s = new RawServer(RawServer.respond("503 Service Unavailable", ""))) {
      HttpTableService c = client(s.address());
      assertThat(loop.await(() -> c.read(List.of("k")))).isInstanceOf(ReadResult.Failed.class);
    }
  }
}
