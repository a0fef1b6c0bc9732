package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
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
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.FleetView;
import org.hibiscusreel.coordination.forward.ForwardSettings;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.HolderCopies;
import org.hibiscusreel.coordination.forward.LoadExchange;
import org.hibiscusreel.coordination.forward.PrepaidBudgets;
import org.hibiscusreel.coordination.forward.Refusal;
import org.hibiscusreel.coordination.forward.StreamOrigins;
import org.hibiscusreel.coordination.forward.UpstreamCrashes;
import org.hibiscusreel.coordination.forward.UpstreamPaths;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.coordination.platform.ObservedStoreClock;
import org.hibiscusreel.core.forward.AccountSettings;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.RetryPolicy;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.RouteHistory;
import org.hibiscusreel.core.forward.UpstreamCatalog;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;
import org.hibiscusreel.core.forward.WeightedService;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.RequestForms;
import org.hibiscusreel.daemon.http.TrafficListener;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.RawServer;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the server over real sockets with a scripted upstream. */
class ForwardServerTest {

  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT = "id: 1\ndata: x\n\n";

  private final TestLoop loop = new TestLoop();
  private final int port = freePort();
  private RawServer upstream;
  private ForwardServer server;
  private volatile boolean isReady = true;
  private Optional<String> upstreamAddress = Optional.empty();
  private final BodyMemory bodies = new BodyMemory(10_000, 6_000, 0);
  private final CountedTraffic callerTraffic = new CountedTraffic();
  private final CountedTraffic upstreamTraffic = new CountedTraffic();

  private static final class CountedTraffic implements TrafficListener {

    private final AtomicInteger received = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();

    @Override
    public void onReceived(int bytes) {
      received.addAndGet(bytes);
    }

    @Override
    public void onSent(int bytes) {
      sent.addAndGet(bytes);
    }
  }

  private static int freePort() {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static final class Dialect implements CallerDialect, UpstreamDialect {

    @Override
    public CallerRequest read(ReceivedRequest r) {
      return new CallerRequest(
          "id",
          r.method(),
          r.host(),
          r.target(),
          r.path(),
          Optional.of("key"),
          Optional.empty(),
          Optional.empty(),
          r.fields(),
          r.body());
    }

    @Override
    public RefusalResponse write(Refusal refusal) {
      return new RefusalResponse(refusal.kind() == Refusal.Kind.MALFORMED ? 400 : 503, List.of());
    }

    @Override
    public List<HeaderField> headerFields(
        UpstreamEntry u, UpstreamTransport.UpstreamRequest request) {
      return request.caller().fields();
    }

    @Override
    public Optional<UpstreamNotice> notice(int status, List<HeaderField> fields) {
      return Optional.of(UpstreamNotice.NONE);
    }

    @Override
    public ResponseCheck checkResponse(
        UpstreamTransport.UpstreamRequest r, int status, List<HeaderField> fields) {
      return new ResponseCheck.Accepted(fields);
    }
  }

  private final class Fleet implements FleetView {

    private final UpstreamCatalog catalog = new UpstreamCatalog();
    private final RouteHistory routes = new RouteHistory();
    private final ForwardingTable table =
        new ForwardingTable(
            1,
            new CallerLimits(1, 1, 1),
            List.of(route("/stream/", true), route("/plain/", false)),
            List.of(new ForwardService("s", 1, 1, 0, 1)),
            List.of(new AccountSettings("a", OptionalInt.empty(), OptionalLong.empty())),
            Map.of("key", "a"));

    Fleet() {
      routes.onConfiguration(table, 0);
      String address = upstreamAddress.orElseGet(upstream::address);
      catalog.put(new UpstreamEntry("u", "s", address, "d", false, 1, 0));
    }

    private static Route route(String prefix, boolean streamed) {
      return new Route(
          prefix,
          "h",
          prefix,
          RetryPolicy.ONCE,
          streamed,
          10_000,
          100,
          100,
          0,
          List.of(new WeightedService("s", 1)),
          1,
          false);
    }

    @Override
    public Optional<ForwardingTable> table() {
      return Optional.of(table);
    }

    @Override
    public UpstreamCatalog upstreams() {
      return catalog;
    }

    @Override
    public long configurationAgeMillis() {
      return 0;
    }

    @Override
    public long configurationLagMillis() {
      return 0;
    }

    @Override
    public RouteHistory routes() {
      return routes;
    }

    @Override
    public long configurationFollowedMillis() {
      return 0;
    }

    @Override
    public CompletableFuture<Boolean> catchUpWithConfiguration(long timeoutMillis) {
      return CompletableFuture.completedFuture(true);
    }

    @Override
    public long upstreamDataAgeMillis() {
      return 0;
    }

    @Override
    public long upstreamsFollowedMillis() {
      return 0;
    }

    @Override
    public CompletableFuture<Boolean> catchUpWithUpstreams(long timeoutMillis) {
      return CompletableFuture.completedFuture(true);
    }

    @Override
    public int daemonCount() {
      return 1;
    }
  }

  private void start(RawServer.Handler behaviour) throws IOException {
    upstream = new RawServer(behaviour);
    loop.run(
        () -> {
          EventLoopScheduler scheduler = new EventLoopScheduler(loop.eventloop());
          Dialect dialect = new Dialect();
          UdpLoadTransport reports =
              new UdpLoadTransport(
                  loop.eventloop(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
          PrepaidBudgets budgets =
              new PrepaidBudgets(
                  new UnreachableTableService(),
                  scheduler,
                  new ObservedStoreClock(scheduler::nowMillis),
                  new PrepaidBudgets.Identity("d", "d.1"),
                  800,
                  () -> 1,
                  new HolderCopies(scheduler, reports, ""),
                  (e, f) -> {});
          Forwarder forwarder =
              new Forwarder(
                  scheduler,
                  new Fleet(),
                  new HttpUpstreamTransport(
                      new AsyncHttpClient(
                          loop.eventloop(), Duration.ofMillis(500), upstreamTraffic),
                      dialect,
                      new UpstreamPaths(
                          scheduler,
                          List::of,
                          a -> CompletableFuture.completedFuture(false),
                          () -> {},
                          () -> 0,
                          (e, f) -> {})),
                  budgets,
                  new LoadExchange(
                      scheduler,
                      reports,
                      new LoadExchange.Identity("d.1", "127.0.0.1:0"),
                      () -> 1,
                      () -> 0,
                      Set::of,
                      v -> {}),
                  new UpstreamCrashes(scheduler, reports, "127.0.0.1:0", (e, f) -> {}),
                  new StreamOrigins(
                      new UnreachableTableService(),
                      scheduler,
                      new ObservedStoreClock(scheduler::nowMillis),
                      new Fleet(),
                      "d",
                      800,
                      () -> 1,
                      reports,
                      (e, f) -> {}),
                  new ForwardSettings("d", 0.2, 10, 2_000),
                  (e, f) -> {},
                  () -> 0);
          server =
              new ForwardServer(
                  loop.eventloop(),
                  scheduler,
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                  forwarder,
                  dialect,
                  () -> isReady,
                  new ConnectionLimits(1_000, 32_768, 1_000_000),
                  callerTraffic,
                  (e, f) -> {},
                  bodies);
          try {
            server.start();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  @AfterEach
  void stop() throws IOException {
    loop.close();
    upstream.close();
  }

  private Socket connect() throws IOException {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
    s.setSoTimeout(5_000);
    return s;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  private static String request(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  @Test
  void servesSeveralRequestsOnOneConnection() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
      for (int i = 0; i < 3; i++) {
        send(s, request("/plain/x"));
        assertThat(in.readLine()).startsWith("HTTP/1.1 200");
        String line = in.readLine();
        while (!line.isEmpty()) {
          line = in.readLine();
        }
        char[] body = new char[5];
        assertThat(in.read(body)).isEqualTo(5);
        assertThat(new String(body)).isEqualTo("hello");
      }
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Guards against requests that are sent on after their callers have left, because the daemon was
   * busy while they came and reads the end of the connection only after the request.
   */
  @Test
  void sendsNothingOnForCallersThatLeftWhileTheLoopWasBusy() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      callers.add(connect());
    }
    // The connections are accepted before the loop is busy.
    loop.run(() -> {});
    Thread.sleep(100);
    CountDownLatch isBusy = new CountDownLatch(1);
    loop.eventloop()
        .execute(
            () -> {
              isBusy.countDown();
              sleep(300);
            });
    assertThat(isBusy.await(5, TimeUnit.SECONDS)).isTrue();
    for (Socket s : callers) {
      send(s, request("/plain/x"));
      s.close();
    }
    Thread.sleep(1_000);
    assertThat(upstream.requestLines()).isEmpty();
  }

  /** Guards against a response that is neither the upstream's nor a refusal. */
  @ParameterizedTest
  @ValueSource(strings = {"127.0.0.1:70000", "127.0.0.1:x", "127.0.0.1:"})
  void refusesRequestWhoseUpstreamHasUnusableAddress(String address) throws Exception {
    upstreamAddress = Optional.of(address);
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      send(s, request("/plain/x"));
      BufferedReader in =
          new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
      assertThat(in.readLine()).startsWith("HTTP/1.1 503");
    }
  }

  /** Guards against a request that was read and gets neither an answer nor a refusal. */
  @Test
  void refusesRequestThatArrivesBeforeThePreviousResponse() throws Exception {
    CountDownLatch sentBoth = new CountDownLatch(1);
    start(
        (line, socket, out) -> {
          assertThat(sentBoth.await(5, TimeUnit.SECONDS)).isTrue();
          Thread.sleep(100);
          RawServer.respond("200 OK", "hello").handle(line, socket, out);
        });
    try (Socket s = connect()) {
      send(s, request("/plain/x"));
      while (upstream.requestLines().isEmpty()) {
        Thread.sleep(10);
      }
      send(s, request("/plain/y"));
      Thread.sleep(50);
      send(s, request("/plain/z"));
      sentBoth.countDown();
      String text = readAll(s);
      assertThat(text).startsWith("HTTP/1.1 200").contains("helloHTTP/1.1 503");
      assertThat(text.split("HTTP/1.1", -1)).hasSize(3);
      assertThat(upstream.requestLines()).hasSize(1);
    }
  }

  /** Guards against a kept connection that an empty line between two requests closes. */
  @Test
  void servesNextRequestAfterEmptyLine() throws Exception {
    start(
        (line, socket, out) -> {
          Thread.sleep(200);
          RawServer.respond("200 OK", "hello").handle(line, socket, out);
        });
    try (Socket s = connect()) {
      for (int i = 0; i < 2; i++) {
        send(s, request("/plain/x"));
        Thread.sleep(100);
        send(s, "\r\n");
        readUntil(s, "hello");
      }
    }
  }

  /** Guards against upstreams that keep working after such a caller disconnected. */
  @Test
  void cancelsUpstreamRequestWhenCallerWithTwoRequestsDisconnects() throws Exception {
    CountDownLatch dropped = new CountDownLatch(1);
    start(
        (line, socket, out) -> {
          if (socket.getInputStream().read() < 0) {
            dropped.countDown();
          }
        });
    try (Socket s = connect()) {
      send(s, request("/plain/x"));
      while (upstream.requestLines().isEmpty()) {
        Thread.sleep(10);
      }
      send(s, request("/plain/y"));
      Thread.sleep(100);
    }
    assertThat(dropped.await(2, TimeUnit.SECONDS)).isTrue();
  }

  /** Guards against a request that crosses the announcement of a close and gets no answer. */
  @Test
  void answersRequestOnConnectionWhoseCloseWasAnnounced() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    isReady = false;
    try (Socket s = connect()) {
      for (int i = 0; i < 3; i++) {
        send(s, request("/plain/x"));
        assertThat(readUntil(s, "hello")).containsIgnoringCase("\r\nConnection: close\r\n");
      }
    }
  }

  /** Guards against kept connections that a stop closes while their requests are in progress. */
  @Test
  void answersRequestsInProgressOnKeptConnectionsWhenItStops() throws Exception {
    CountDownLatch stopping = new CountDownLatch(1);
    start(
        (line, socket, out) -> {
          if (line.contains("slow")) {
            assertThat(stopping.await(5, TimeUnit.SECONDS)).isTrue();
            Thread.sleep(200);
          }
          RawServer.respond("200 OK", "hello").handle(line, socket, out);
        });
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Socket s = connect();
      callers.add(s);
      send(s, request("/plain/x"));
      readUntil(s, "hello");
      send(s, request("/plain/slow"));
    }
    while (upstream.requestLines().size() < 2 * callers.size()) {
      Thread.sleep(10);
    }
    loop.run(() -> assertThat(server.stop()).isNotNull());
    stopping.countDown();
    for (Socket s : callers) {
      assertThat(readAll(s)).startsWith("HTTP/1.1 200").endsWith("hello");
      s.close();
    }
  }

  private static String upload(String key, int bytes, boolean chunked) {
    String body = "x".repeat(bytes);
    return "POST /plain/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: "
        + key
        + (chunked
            ? "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
            : "\r\nContent-Length: " + bytes + "\r\n\r\n" + body);
  }

  /** Guards against bodies of one caller that fill the memory, so that the requests of all end. */
  @ParameterizedTest
  @CsvSource({
    "a, 2000, false, 503",
    "a, 2000, true, 503",
    "a, 900, false, 200",
    "b, 2000, true, 200"
  })
  @Timeout(20)
  void refusesBodyForWhichThereIsNoMemory(String key, int bytes, boolean chunked, int status)
      throws Exception {
    CountDownLatch isRefused = new CountDownLatch(1);
    start(
        (line, socket, out) -> {
          if (upstream.requestLines().size() == 1) {
            assertThat(isRefused.await(5, TimeUnit.SECONDS)).isTrue();
          }
          RawServer.respond("200 OK", "hello").handle(line, socket, out);
        });
    try (Socket first = connect();
        Socket second = connect();
        Socket third = connect()) {
      send(first, upload("a", 5_000, chunked));
      while (upstream.requestLines().isEmpty()) {
        Thread.sleep(10);
      }
      send(second, upload(key, bytes, chunked));
      assertThat(readAll(second)).startsWith("HTTP/1.1 " + status);
      isRefused.countDown();
      assertThat(readAll(first)).startsWith("HTTP/1.1 200").endsWith("hello");
      send(third, upload("a", 5_000, chunked));
      assertThat(readAll(third)).startsWith("HTTP/1.1 200").endsWith("hello");
    }
    loop.run(() -> assertThat(bodies.usedBytes()).isZero());
  }

  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith(end)) {
      int c = socket.getInputStream().read();
      assertThat(c).as("after %s", text).isNotNegative();
      text.append((char) c);
    }
    return text.toString();
  }

  /** Guards against traffic that the measurement of the link misses. */
  @Test
  void countsTrafficWithCallersAndUpstreams() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    String request = request("/plain/x");
    try (Socket s = connect()) {
      send(s, request);
      StringBuilder text = new StringBuilder();
      while (!text.toString().endsWith("hello")) {
        text.append((char) s.getInputStream().read());
      }
      // The loop counts the bytes after it has written them, so let it finish that step.
      loop.run(() -> {});
      assertThat(callerTraffic.received).hasValue(request.length());
      assertThat(callerTraffic.sent).hasValue(text.length());
      assertThat(upstreamTraffic.received).hasValueGreaterThan("hello".length());
      assertThat(upstreamTraffic.sent).hasValueGreaterThan("GET /plain/x".length());
    }
  }

  /** Guards against callers that stay with a daemon that is not ready. */
  @Test
  void asksCallersToConnectAgainWhileItIsNotReady() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    isReady = false;
    try (Socket s = connect()) {
      send(s, request("/plain/x"));
      StringBuilder text = new StringBuilder();
      while (!text.toString().endsWith("hello")) {
        text.append((char) s.getInputStream().read());
      }
      assertThat(text.toString()).containsIgnoringCase("\r\nConnection: close\r\n");
    }
  }

  /** Guards against holding back events of a stream until more data arrives. */
  @Test
  void passesOnEventsAsTheyArrive() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    start(
        (line, socket, out) -> {
          out.write((CHUNKED + chunk(EVENT)).getBytes(StandardCharsets.UTF_8));
          out.flush();
          assertThat(received.await(5, TimeUnit.SECONDS)).isTrue();
          out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        });
    try (Socket s = connect()) {
      send(s, request("/stream/x"));
      StringBuilder text = new StringBuilder();
      while (!text.toString().contains(EVENT)) {
        text.append((char) s.getInputStream().read());
      }
      received.countDown();
      while (!text.toString().endsWith("0\r\n\r\n")) {
        text.append((char) s.getInputStream().read());
      }
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Guards against a broken stream that looks complete to the caller. */
  @Test
  void closesConnectionWithoutLastChunkWhenStreamBreaks() throws Exception {
    start(
        (line, socket, out) ->
            out.write((CHUNKED + chunk(EVENT)).getBytes(StandardCharsets.UTF_8)));
    try (Socket s = connect()) {
      send(s, request("/stream/x"));
      assertThat(readAll(s)).contains(EVENT).doesNotContain("0\r\n\r\n");
    }
  }

  /** Guards against upstreams that keep working after the caller disconnected. */
  @Test
  void cancelsUpstreamRequestWhenCallerDisconnects() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch dropped = new CountDownLatch(1);
    start(
        (line, socket, out) -> {
          arrived.countDown();
          if (socket.getInputStream().read() < 0) {
            dropped.countDown();
          }
        });
    try (Socket s = connect()) {
      send(s, request("/plain/x"));
      assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(dropped.await(2, TimeUnit.SECONDS)).isTrue();
  }

  /**
   * Guards against a planned stop that aborts streams after a few seconds, as ActiveJ does by
   * default.
   */
  @Test
  void finishesLongStreamsWhenItStops() throws Exception {
    start(
        (line, socket, out) -> {
          out.write(CHUNKED.getBytes(StandardCharsets.UTF_8));
          for (int i = 0; i < 9; i++) {
            out.write(chunk(EVENT).getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(500);
          }
          out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        });
    try (Socket s = connect()) {
      send(s, request("/stream/x"));
      assertThat(s.getInputStream().read()).isPositive();
      loop.run(() -> server.stop());
      assertThat(readAll(s)).endsWith("0\r\n\r\n");
    }
  }

  /** Guards against request smuggling: a second request hidden in the body of the first. */
  @Test
  void refusesRequestWithTwoBodyLengths() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      send(
          s,
          "POST /plain/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
              + request("/plain/hidden"));
      readAll(s);
      assertThat(upstream.requestLines()).isEmpty();
    }
  }

  /** Guards against a request that runs though another one holds it, or that is changed. */
  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#improper")
  void refusesRequestWhoseFramingIsImproper(RequestForms.Form form) throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      send(s, form.toRequest("/plain/x", "") + request("/plain/hidden"));
      String text = readAll(s);
      assertThat(text).startsWith("HTTP/1.1 " + form.status());
      assertThat(text.split("HTTP/1.1", -1)).hasSize(2);
      assertThat(upstream.requestLines()).isEmpty();
    }
  }

  /** Guards against an improper request that is missed because it comes in small pieces. */
  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#improper")
  void refusesImproperRequestAfterProperOne(RequestForms.Form form) throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      send(s, request("/plain/x"));
      assertThat(readUntil(s, "hello")).startsWith("HTTP/1.1 200");
      String bad = form.toRequest("/plain/y", "");
      send(s, bad.substring(0, bad.length() / 2));
      Thread.sleep(5);
      send(s, bad.substring(bad.length() / 2) + request("/plain/hidden"));
      String text = readAll(s);
      assertThat(text).startsWith("HTTP/1.1 " + form.status());
      assertThat(upstream.requestLines()).hasSize(1);
    }
  }

  /** Guards against a proper request that gets no response because of the one behind it. */
  @Test
  void answersProperRequestBeforeItRefusesImproperOne() throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      send(
          s,
          request("/plain/x")
              + "GET /plain/y HTTP/1.1\r\nHost : h\r\n\r\n"
              + request("/plain/hidden"));
      String text = readAll(s);
      assertThat(text).startsWith("HTTP/1.1 200").contains("helloHTTP/1.1 400");
      assertThat(upstream.requestLines()).hasSize(1);
    }
  }

  /** Guards against a check that refuses proper requests, or loses its place between them. */
  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#proper")
  void servesProperRequestsOneAfterTheOther(RequestForms.Form form) throws Exception {
    start(RawServer.respond("200 OK", "hello"));
    try (Socket s = connect()) {
      for (int i = 0; i < 3; i++) {
        send(s, form.toRequest("/plain/x", ""));
        assertThat(readUntil(s, "hello")).contains("HTTP/1.1 200 OK\r\n");
      }
      assertThat(upstream.requestLines()).hasSize(3).allMatch(l -> l.startsWith("POST /plain/x"));
    }
  }
}
