package org.hibiscusreel.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.hibiscusreel.coordination.request.AnswerListener;
import org.hibiscusreel.coordination.request.ModelRequest;
import org.hibiscusreel.coordination.request.RequestStatus;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.daemon.http.RequestForms;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.platform.JsonBodies;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class CallerServerTest {

  private static final int MAX_BODY = 2000;
  private static final int MAX_CONNECTIONS = 300;
  private static final String CHAT = "/v1/chat/completions";
  private static final String VALID =
      "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  private static final String SERVICE = "/v1/services/records/sign";
  private static final String FIELDS =
      "Authorization: Bearer " + FakeRequestService.KEY + "\r\nContent-Type: text/plain\r\n";

  private final TestLoop loop = new TestLoop();
  private final FakeRequestService requests = new FakeRequestService();
  private final DaemonMetrics metrics = new DaemonMetrics();
  private final HttpClient client = HttpClient.newHttpClient();
  private CallerServer server;
  private int port;

  @BeforeEach
  void start() throws Exception {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    DaemonSettings s =
        new DaemonSettings(
            null,
            new DaemonSettings.Listen(any, any, any),
            null,
            null,
            new DaemonSettings.Limits(MAX_BODY, 1, MAX_CONNECTIONS, 1),
            null,
            null);
    EventLoopScheduler scheduler = new EventLoopScheduler(loop.eventloop());
    server =
        loop.get(
            () ->
                new CallerServer(
                    loop.eventloop(), scheduler, s, Optional.empty(), requests, requests, metrics));
    loop.eventloop().submit(server::start).get();
    port = server.port();
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .header("Authorization", "Bearer " + FakeRequestService.KEY);
  }

  private HttpResponse<String> post(String path, String body, String... headers) throws Exception {
    HttpRequest.Builder b = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      b.headers(headers);
    }
    return client.send(b.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode json(String text) throws Exception {
    return JsonBodies.MAPPER.readTree(text);
  }

  private void assertProblem(HttpResponse<String> r, int status, String code) throws Exception {
    assertThat(r.statusCode()).as(r.body()).isEqualTo(status);
    assertThat(r.headers().firstValue("Content-Type")).contains("application/problem+json");
    assertThat(json(r.body()).path("code").asText()).isEqualTo(code);
    assertThat(json(r.body()).path("ran").asText()).isEqualTo("no");
    assertThat(requests.models).isEmpty();
    assertThat(requests.services).isEmpty();
  }

  /**
   * Guards against invalid input that is submitted, and so charged, or that is answered with status
   * 500.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "``|400|malformed_request",
        "{|400|malformed_request",
        "[]|400|malformed_request",
        "null|400|malformed_request",
        "{\"model\":\"writer\"}|400|malformed_request",
        "{\"model\":\"writer\",\"messages\":[]}|400|malformed_request",
        "{\"model\":\"writer\",\"messages\":[7]}|400|malformed_request",
        "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\"}]}|400|malformed_request",
        "{\"model\":7,MESSAGES}|400|malformed_request",
        "{\"model\":\"none\",MESSAGES}|404|unknown_model",
        "{\"model\":\"writer\",MESSAGES,\"stream\":\"yes\"}|400|malformed_request",
        "{\"model\":\"writer\",MESSAGES,\"n\":2}|400|malformed_request",
        "{\"model\":\"writer\",MESSAGES,\"max_tokens\":0}|400|malformed_request",
        "{\"model\":\"writer\",MESSAGES,\"max_tokens\":1.5}|400|malformed_request",
        "{\"model\":\"writer\",MESSAGES,\"max_tokens\":4097}|400|malformed_request",
        "{\"model\":\"writer\",\"model\":\"x\",MESSAGES}|400|malformed_request",
        "{\"model\":\"writer\",MESSAGES} trailing|400|malformed_request",
      })
  void refusesBadBodies(String body, int status, String code) throws Exception {
    String messages = "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";

    assertProblem(post(CHAT, body.replace("MESSAGES", messages)), status, code);
  }

  @ParameterizedTest
  @CsvSource({
    "X-Budget, other, 403, unknown_budget",
    "X-Class, none, 400, malformed_request",
    "X-Deadline-Ms, soon, 400, malformed_request",
    "X-Deadline-Ms, -5, 400, malformed_request",
    "Idempotency-Key, a~b, 400, malformed_request"
  })
  void refusesBadHeaders(String name, String value, int status, String code) throws Exception {
    assertProblem(post(CHAT, VALID, name, value), status, code);
  }

  @Test
  void refusesMissingAndWrongKeys() throws Exception {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + CHAT))
            .POST(HttpRequest.BodyPublishers.ofString(VALID));
    assertProblem(client.send(b.build(), HttpResponse.BodyHandlers.ofString()), 401, "missing_key");
    b.header("Authorization", "Bearer wrong");
    assertProblem(client.send(b.build(), HttpResponse.BodyHandlers.ofString()), 401, "invalid_key");
  }

  @Test
  void refusesOtherInvalidRequests() throws Exception {
    assertProblem(post(CHAT, " ".repeat(MAX_BODY + 1)), 413, "body_too_large");
    assertProblem(post("/v1/services/records/none", "{}"), 404, "unknown_service");
    assertProblem(
        post("/v1/services/records/sign", "{", "Content-Type", "application/json"),
        400,
        "malformed_request");
    assertProblem(post("/v1/none", "{}"), 400, "malformed_request");
    requests.hasConfiguration = false;
    assertProblem(post(CHAT, VALID), 503, "no_configuration");
  }

  @Test
  void answersWithOneDocument() throws Exception {
    HttpResponse<String> r = post(CHAT, VALID, "Idempotency-Key", "k-1", "X-Budget", "second");

    JsonNode body = json(r.body());
    assertThat(r.statusCode()).isEqualTo(200);
    assertThat(r.headers().firstValue("X-Request-Id")).contains("k-1");
    assertThat(body.at("/choices/0/message/content").asText()).isEqualTo("hello");
    assertThat(body.at("/usage/total_tokens").asInt()).isEqualTo(5);
    assertThat(body.at("/hibiscusreel/length").asInt()).isEqualTo(5);
    ModelRequest m = requests.models.remove();
    assertThat(m.budget()).isEqualTo("second");
    assertThat(m.maxTokens()).isEqualTo(512);
    assertThat(json(new String(m.body(), StandardCharsets.UTF_8)).path("stream").asBoolean())
        .isTrue();
    assertThat(metrics.toJson().path("requests.ok").asInt()).isEqualTo(1);
  }

  /**
   * Guards against retries with the same content that get a different fingerprint and so count as
   * another request.
   */
  @Test
  void fingerprintIgnoresFormAndDelivery() throws Exception {
    post(CHAT, VALID);
    post(
        CHAT,
        "{ \"stream\":true, \"messages\":[{\"content\":\"hi\",\"role\":\"user\"}],"
            + "\"model\":\"writer\"}");
    post(CHAT, VALID.replace("hi", "ho"));

    String first = requests.models.remove().fingerprint();
    assertThat(requests.models.remove().fingerprint()).isEqualTo(first);
    assertThat(requests.models.remove().fingerprint()).isNotEqualTo(first);
  }

  @Test
  void streamEndsWithUsageLengthAndDigest() throws Exception {
    String body = post(CHAT, VALID.replace("}]}", "}],\"stream\":true}")).body();

    List<String> events = List.of(body.split("\n\n"));
    assertThat(events).hasSize(4);
    assertThat(events.get(3)).isEqualTo("data: [DONE]");
    JsonNode last = json(events.get(2).substring("data: ".length()));
    assertThat(last.at("/usage/completion_tokens").asInt()).isEqualTo(2);
    assertThat(last.at("/hibiscusreel/sha256").asText()).isEqualTo(CanonicalJson.sha256("hello"));
  }

  /** Guards against a partial or mixed answer that is reported as complete. */
  @Test
  void streamThatFailsEndsWithAnErrorEvent() throws Exception {
    requests.onModel =
        (r, l) -> {
          l.onPiece("hel");
          l.onComplete(FakeRequestService.end("hello"));
        };

    String body = post(CHAT, VALID.replace("}]}", "}],\"stream\":true}")).body();

    assertThat(body).doesNotContain("[DONE]").contains("event: error\ndata: {");
    JsonNode problem = json(body.substring(body.lastIndexOf("data: ") + "data: ".length()));
    assertThat(problem.path("code").asText()).isEqualTo("answer_incomplete");
    assertThat(problem.path("ran").asText()).isEqualTo("yes");
  }

  @Test
  void refusalBeforeTheFirstPieceHasItsOwnStatus() throws Exception {
    requests.onModel = (r, l) -> l.onProblem(Problem.notRun(ProblemCode.OVERLOADED, "busy", 1500));

    HttpResponse<String> r = post(CHAT, VALID.replace("}]}", "}],\"stream\":true}"));

    assertThat(r.statusCode()).isEqualTo(503);
    assertThat(r.headers().firstValue("Retry-After")).contains("2");
    assertThat(json(r.body()).path("retry_after_ms").asInt()).isEqualTo(1500);
  }

  @Test
  void passesServiceCallsThroughAndReportsOutcomes() throws Exception {
    HttpResponse<String> r = post("/v1/services/records/sign", "x", "Content-Type", "text/plain");
    assertThat(r.body()).isEqualTo("x");
    assertThat(requests.services.remove().budget()).isEqualTo("main");

    HttpRequest lookUp = request("/v1/requests/k-1").build();
    r = client.send(lookUp, HttpResponse.BodyHandlers.ofString());
    assertThat(r.statusCode()).isEqualTo(404);
    requests.status =
        new RequestStatus(
            Ran.YES, "finished", 50, 200, "text/plain", "x".getBytes(StandardCharsets.UTF_8));
    r = client.send(lookUp, HttpResponse.BodyHandlers.ofString());
    assertThat(json(r.body()).at("/outcome/body").asText()).isEqualTo("x");
  }

  private Socket open(String body) throws Exception {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n";
    s.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
    return s;
  }

  /** Guards against unbounded buffers for callers that read slowly. */
  @Test
  void slowReaderPausesTheUpstream() throws Exception {
    AtomicReference<AnswerListener> listener = new AtomicReference<>();
    requests.onModel = (r, l) -> listener.set(l);
    try (Socket s = open(VALID.replace("}]}", "}],\"stream\":true}"))) {
      requests.models.take();
      String text = "x".repeat(1000);
      int pieces = 0;
      while (requests.signals.isEmpty() && pieces < 100_000) {
        loop.run(() -> listener.get().onPiece(text));
        pieces++;
      }
      assertThat(requests.nextSignal()).isEqualTo("pause");
      InputStream in = s.getInputStream();
      while (requests.signals.isEmpty()) {
        assertThat(in.read(new byte[65536])).isPositive();
      }
      assertThat(requests.nextSignal()).isEqualTo("proceed");
    }
    assertThat(requests.nextSignal()).isEqualTo("cancel");
  }

  /** Guards against generations that continue after the caller disconnected. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void disconnectOfTheCallerCancelsTheCall(boolean stream) throws Exception {
    requests.onModel = (r, l) -> {};
    Socket s = open(VALID.replace("}]}", "}],\"stream\":" + stream + "}"));
    requests.models.take();

    s.close();

    assertThat(requests.nextSignal()).isEqualTo("cancel");
  }

  /** Guards against idle or malformed connections that block other callers. */
  @Test
  void servesBesideIdleAndMisbehavingConnections() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS - 20; i++) {
      Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
      String start = new String[] {"", "POST /v1/ch", "\0\1\2\r\n\r\n", "GET / HTTP/9\r\n"}[i % 4];
      s.getOutputStream().write(start.getBytes(StandardCharsets.UTF_8));
      sockets.add(s);
    }

    assertThat(post(CHAT, VALID).statusCode()).isEqualTo(200);
    for (Socket s : sockets) {
      s.close();
    }
  }

  /**
   * Guards against an unbounded number of connections, which would exhaust the file descriptors of
   * the host.
   */
  @Test
  void replacesOldestUnusedConnectionAtTheLimit() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
    }
    assertThat(post(CHAT, VALID).statusCode()).isEqualTo(200);
    Socket oldest = sockets.get(0);
    oldest.setSoTimeout(5000);
    assertThat(oldest.getInputStream().read()).isNegative();
    assertThat(gauge("connections")).isBetween(MAX_CONNECTIONS - 1L, (long) MAX_CONNECTIONS);
    assertThat(gauge("connections_closed_by_limits")).isOne();
    for (Socket s : sockets) {
      s.close();
    }
  }

  private long gauge(String name) {
    return Long.parseLong(metrics.toJson().path(name).asText());
  }

  private Socket send(String text) throws Exception {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
    s.setSoTimeout(5000);
    s.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return s;
  }

  /** Guards against a request that runs though another one holds it, or that is changed. */
  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#improper")
  void refusesRequestWhoseFramingIsImproper(RequestForms.Form form) throws Exception {
    String next = "POST " + SERVICE + " HTTP/1.1\r\nHost: h\r\n" + FIELDS + "\r\n";
    try (Socket s = send(form.toRequest(SERVICE, FIELDS) + next)) {
      String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

      assertThat(text).startsWith("HTTP/1.1 " + form.status()).contains("\"ran\":\"no\"");
      assertThat(text.split("HTTP/1.1", -1)).hasSize(2);
      assertThat(requests.services).isEmpty();
    }
  }

  /** Guards against a check that changes proper requests. */
  @ParameterizedTest
  @MethodSource("org.hibiscusreel.daemon.http.RequestForms#proper")
  void servesProperRequestsUnchanged(RequestForms.Form form) throws Exception {
    try (Socket s = send(form.toRequest(SERVICE, FIELDS))) {
      StringBuilder text = new StringBuilder();
      while (!text.toString().endsWith(RequestForms.BODY)) {
        int c = s.getInputStream().read();
        assertThat(c).as("after %s", text).isNotNegative();
        text.append((char) c);
      }
      assertThat(requests.services.remove().body())
          .asString(StandardCharsets.UTF_8)
          .isEqualTo(RequestForms.BODY);
    }
  }
}
