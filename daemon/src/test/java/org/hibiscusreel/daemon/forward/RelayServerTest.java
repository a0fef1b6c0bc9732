package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.forward.UpstreamTransport.UpstreamRequest;
import org.hibiscusreel.core.forward.PauseRequest;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.TrafficListener;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of a relay over real sockets: what an origin and an upstream see of each other. */
class RelayServerTest {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int LARGE_BYTES = 64 * 1024 * 1024;

  /** More than the buffers of two connections hold, each up to 33 MB where it is received. */
  private static final int UPLOAD_BYTES = 2 * LARGE_BYTES;

  private static final String HEAD = "HTTP/1.1 200 OK\r\nLeaving: 1\r\n\r\n";

  private final TestLoop loop = new TestLoop();
  private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
  private final ServerSocket upstream;
  private final int port;
  private UpstreamPaths paths;
  private RelayServer relay;

  RelayServerTest() throws IOException {
    upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    upstream.setSoTimeout(TIMEOUT_MILLIS);
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
  }

  private static final class Dialect implements UpstreamDialect {

    @Override
    public List<HeaderField> headerFields(UpstreamEntry entry, UpstreamRequest request) {
      return List.of();
    }

    @Override
    public Optional<UpstreamNotice> notice(int status, List<HeaderField> fields) {
      boolean isLeaving = fields.contains(new HeaderField("Leaving", "1"));
      return Optional.of(
          new UpstreamNotice(new RequestLimit.Unlimited(), isLeaving, new PauseRequest.None()));
    }

    @Override
    public ResponseCheck checkResponse(
        UpstreamRequest request, int status, List<HeaderField> fields) {
      return new ResponseCheck.Accepted(fields);
    }
  }

  @BeforeEach
  void start() {
    EventLoopScheduler scheduler = new EventLoopScheduler(loop.eventloop());
    loop.run(
        () -> {
          paths =
              new UpstreamPaths(
                  scheduler,
                  () -> List.of(entry()),
                  a -> CompletableFuture.completedFuture(false),
                  () -> {},
                  () -> 0,
                  (e, f) -> {});
          relay =
              new RelayServer(
                  loop.eventloop(),
                  scheduler,
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                  Duration.ofMillis(400),
                  new ConnectionLimits(256, RelayedConnection.MAX_HEAD_BYTES, 1_000_000),
                  this::decide,
                  paths,
                  (u, n, sentAt) -> notices.add(u.id() + " " + n.isLeaving()),
                  new Dialect(),
                  TrafficListener.NONE,
                  (e, f) -> {});
          try {
            relay.start();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  private RelayAdmission.Decision decide(RelayTicket ticket) {
    return ticket.upstream().equals("u")
        ? new RelayAdmission.Decision.Admitted(entry())
        : new RelayAdmission.Decision.Refused(RelayRefusal.UNKNOWN);
  }

  private UpstreamEntry entry() {
    return new UpstreamEntry("u", "s", address(), "d", false, 4, 0);
  }

  private String address() {
    return "127.0.0.1:" + upstream.getLocalPort();
  }

  @AfterEach
  void stop() throws IOException {
    loop.run(relay::stop);
    loop.close();
    upstream.close();
  }

  private Socket open(String id, String body) throws IOException {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
    s.setSoTimeout(TIMEOUT_MILLIS);
    send(
        s,
        "POST /x HTTP/1.1\r\nHost: relay\r\nRelay-Upstream: n1 0 "
            + id
            + "\r\nA: b\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
    return s;
  }

  private static void send(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void sendInPieces(Socket socket, String text, int size) throws IOException {
    try {
      for (int i = 0; i < text.length(); i += size) {
        send(socket, text.substring(i, Math.min(text.length(), i + size)));
      }
      socket.shutdownOutput();
    } catch (SocketException e) {
      // The relay may reset the connection before all is sent.
      return;
    }
  }

  private Socket accept(int requestBytes) throws IOException {
    Socket s = upstream.accept();
    s.setSoTimeout(TIMEOUT_MILLIS);
    s.getInputStream().readNBytes(requestBytes);
    return s;
  }

  private static String readAll(Socket s) throws IOException {
    return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private String expectedRequest(String body) {
    return "POST /x HTTP/1.1\r\nHost: "
        + address()
        + "\r\nA: b\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private void awaitConnections(int count) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (loop.get(relay::connectionCount) != count && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(loop.<Integer>get(relay::connectionCount)).isEqualTo(count);
  }

  @Test
  void passesRequestAndResponseUnchangedAndAppliesNotices() throws Exception {
    String request = expectedRequest("body");
    try (Socket origin = open("u", "body");
        Socket server = upstream.accept()) {
      assertThat(server.getInputStream().readNBytes(request.length()))
          .isEqualTo(request.getBytes(StandardCharsets.ISO_8859_1));
      send(server, HEAD + "a");
      assertThat(origin.getInputStream().readNBytes(HEAD.length() + 1)).endsWith('a');
      send(server, "b");
      server.shutdownOutput();
      assertThat(readAll(origin)).isEqualTo("b");
    }
    assertThat(notices.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("u true");
    awaitConnections(0);
  }

  /** Guards against a part of a response that ends like all of it. */
  @Test
  void passesResetOnAsReset() throws Exception {
    try (Socket origin = open("u", "")) {
      try (Socket server = accept(expectedRequest("").length())) {
        send(server, HEAD + "part");
        origin.getInputStream().readNBytes(HEAD.length() + 4);
        server.setSoLinger(true, 0);
      }
      assertThatThrownBy(() -> readAll(origin)).isInstanceOf(SocketException.class);
    }
    awaitConnections(0);
  }

  /**
   * Guards against a notice from an invalid head, and against an invalid response that reaches an
   * origin that reads it leniently.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nLeaving: 1\r\nA : b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nabc",
        "HTTP/1.1 000 OK\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nwhat is this\r\nLeaving: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: \0\r\nLeaving: 1\r\n\r\n"
      })
  void resetsOriginOfInvalidResponse(String response) throws Exception {
    for (int size : new int[] {1, response.length()}) {
      try (Socket origin = open("u", "");
          Socket server = accept(expectedRequest("").length())) {
        sendInPieces(server, response, size);
        assertThatThrownBy(() -> readAll(origin)).isInstanceOf(SocketException.class);
      }
      awaitConnections(0);
    }
    assertThat(notices).isEmpty();
  }

  /** Guards against a notice in a body that is taken for one in a head. */
  @Test
  void readsNoticesOfHeadWhoseLinesEndWithLf() throws Exception {
    String response = "HTTP/1.1 200 OK\nA: b\n\nbody\r\nLeaving: 1\r\n\r\n";
    try (Socket origin = open("u", "");
        Socket server = accept(expectedRequest("").length())) {
      send(server, response);
      server.shutdownOutput();
      assertThat(readAll(origin)).isEqualTo(response);
    }
    assertThat(notices.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("u false");
  }

  /**
   * Guards against a part of a response that ends like all of it after the upload failed. Nothing
   * is written after the reset, since a write that fails takes the error that the read looks for.
   */
  @Test
  void passesResetDuringUploadOnAsReset() throws Exception {
    String text = expectedRequest("x".repeat(UPLOAD_BYTES));
    ByteBuffer request =
        ByteBuffer.wrap(
            text.replaceFirst("Host: [^\r]*", "Relay-Upstream: n1 0 u")
                .getBytes(StandardCharsets.ISO_8859_1));
    try (SocketChannel origin =
        SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
      fillBuffers(origin, request);
      assertThat(request.hasRemaining()).isTrue();
      try (Socket server = accept(1_000)) {
        send(server, HEAD + "part");
        TimeUnit.MILLISECONDS.sleep(50);
        server.setSoLinger(true, 0);
      }
      origin.configureBlocking(true);
      assertThatThrownBy(() -> readAll(origin.socket())).isInstanceOf(SocketException.class);
    }
    awaitConnections(0);
  }

  /** Writes until the buffers of both connections of the relay have been full for some time. */
  private static void fillBuffers(SocketChannel origin, ByteBuffer request) throws Exception {
    origin.configureBlocking(false);
    for (int refused = 0; refused < 20 && request.hasRemaining(); ) {
      refused = origin.write(request) == 0 ? refused + 1 : 0;
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  /** Guards against a part of a response that ends like all of it, because the relay stopped. */
  @Test
  void resetsOriginsWhenItStops() throws Exception {
    try (Socket origin = open("u", "");
        Socket server = accept(expectedRequest("").length())) {
      send(server, HEAD + "part");
      origin.getInputStream().readNBytes(HEAD.length() + 4);
      loop.run(relay::stop);
      assertThatThrownBy(() -> readAll(origin)).isInstanceOf(SocketException.class);
    }
  }

  @Test
  void closesUpstreamWhenOriginCloses() throws Exception {
    try (Socket origin = open("u", "");
        Socket server = accept(expectedRequest("").length())) {
      origin.close();
      assertThat(server.getInputStream().read()).isEqualTo(-1);
    }
    awaitConnections(0);
  }

  @Test
  void refusesUnknownUpstreamAlthoughLargeBodyFollows() throws Exception {
    try (Socket origin = open("127.0.0.1:1", "x".repeat(3_000_000))) {
      assertThat(readHead(origin)).contains("\r\nRelay-Refused: n1 unknown\r\n");
    }
    awaitConnections(0);
  }

  @Test
  void refusesUnreachableUpstream() throws Exception {
    upstream.close();
    try (Socket origin = open("u", "body")) {
      assertThat(readHead(origin)).contains("\r\nRelay-Refused: n1 unreachable\r\n");
    }
    assertThat(loop.<Boolean>get(paths::isIsolated)).isTrue();
  }

  @Test
  void refusesWhileItStops() throws Exception {
    loop.run(relay::announceStop);
    try (Socket origin = open("u", "body")) {
      assertThat(readHead(origin)).contains("\r\nRelay-Refused: n1 stopping\r\n");
    }
  }

  private static String readHead(Socket origin) throws IOException {
    InputStream in = origin.getInputStream();
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      text.append((char) in.read());
    }
    return text.toString();
  }

  @Test
  void resetsEndlessHead() throws Exception {
    try (Socket origin = new Socket(InetAddress.getLoopbackAddress(), port)) {
      origin.setSoTimeout(TIMEOUT_MILLIS);
      assertThatThrownBy(
              () -> {
                send(origin, "x".repeat(4 * RelayedConnection.MAX_HEAD_BYTES));
                readAll(origin);
              })
          .isInstanceOf(SocketException.class);
    }
    awaitConnections(0);
  }

  /** Guards against a response that is kept in the memory of the relay while nobody reads it. */
  @Test
  void stopsReadingWhileOriginDoesNotRead() throws Exception {
    try (Socket origin = open("u", "");
        Socket server = accept(expectedRequest("").length())) {
      CompletableFuture<Long> written = new CompletableFuture<>();
      AtomicLong sent = new AtomicLong();
      Thread writer =
          new Thread(
              () -> {
                try {
                  send(server, HEAD);
                  byte[] piece = new byte[64 * 1024];
                  while (sent.get() < LARGE_BYTES) {
                    server.getOutputStream().write(piece);
                    sent.addAndGet(piece.length);
                  }
                  server.shutdownOutput();
                  written.complete(sent.get());
                } catch (IOException e) {
                  written.completeExceptionally(e);
                }
              });
      writer.start();
      TimeUnit.MILLISECONDS.sleep(700);
      long before = sent.get();
      TimeUnit.MILLISECONDS.sleep(300);
      assertThat(sent.get()).isEqualTo(before).isLessThan(LARGE_BYTES);
      assertThat(origin.getInputStream().readAllBytes()).hasSize(HEAD.length() + LARGE_BYTES);
      assertThat(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(LARGE_BYTES);
    }
  }
}
