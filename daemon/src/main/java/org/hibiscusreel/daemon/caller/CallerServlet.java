package org.hibiscusreel.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpException;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.request.RequestService;
import org.hibiscusreel.coordination.request.RequestStatus;
import org.hibiscusreel.coordination.request.ServiceOutcome;
import org.hibiscusreel.core.config.ClientAccount;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Handles the HTTP requests of the caller API. */
final class CallerServlet {

  private static final Logger LOG = System.getLogger(CallerServlet.class.getName());
  private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.register("Idempotency-Key");
  private static final HttpHeader BUDGET = HttpHeaders.register("X-Budget");
  private static final HttpHeader REQUEST_CLASS = HttpHeaders.register("X-Class");
  private static final HttpHeader DEADLINE = HttpHeaders.register("X-Deadline-Ms");

  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final String BEARER_PREFIX = "Bearer ";

  /**
   * Printable ASCII without the tilde. The tilde separates key and fingerprint in the row key of
   * the bill for a reused idempotency key, so a key with a tilde could collide with such a bill.
   */
  private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[!-}]{1,200}");

  private static final Pattern DEADLINE_PATTERN = Pattern.compile("[1-9][0-9]{0,8}");

  private final RequestService requests;
  private final ConfigurationView configuration;
  private final ClientKeys keys;
  private final DaemonMetrics metrics;
  private final Scheduler scheduler;
  private final CallerConnections connections;
  private final int maxBodyBytes;
  private final BodyMemory bodyMemory;

  CallerServlet(
      RequestService requests,
      ConfigurationView configuration,
      DaemonMetrics metrics,
      Scheduler scheduler,
      CallerConnections connections,
      int maxBodyBytes,
      BodyMemory bodyMemory) {
    this.requests = requests;
    this.configuration = configuration;
    this.keys = new ClientKeys(configuration);
    this.metrics = metrics;
    this.scheduler = scheduler;
    this.connections = connections;
    this.maxBodyBytes = maxBodyBytes;
    this.bodyMemory = bodyMemory;
  }

  /** Configuration, client account and headers of a request whose body is not read yet. */
  private record Context(
      Configuration configuration, ClientAccount account, RequestParser.RequestHeaders headers) {}

  /** Handles a request after its body was read. */
  @FunctionalInterface
  private interface Handler {

    Promise<HttpResponse> handle(HttpRequest request, Context context, byte[] body)
        throws ProblemException;
  }

  AsyncServlet toServlet(Reactor reactor) {
    return RoutingServlet.builder(reactor)
        .with(HttpMethod.POST, "/v1/chat/completions", r -> serve(r, this::handleChat))
        .with(HttpMethod.POST, "/v1/services/:service/:method", r -> serve(r, this::service))
        .with(HttpMethod.GET, "/v1/requests/:id", r -> serve(r, this::handleLookUp))
        .build();
  }

  /** Converts an exception of the HTTP server into the response to its request. */
  Promise<HttpResponse> formatException(Exception e) {
    if (e instanceof ProblemException p) {
      return refuse(p.problem(), "").toPromise();
    }
    if (e instanceof ModelAnswer.CallerDisconnectedException) {
      Problem p = Problem.of(ProblemCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, e.getMessage());
      return ProblemDocuments.toResponse(p, "").toPromise();
    }
    if (e instanceof HttpException) {
      String detail = e.getMessage() == null ? "no such path or method" : e.getMessage();
      return refuse(Problem.notRun(ProblemCode.MALFORMED_REQUEST, detail), "").toPromise();
    }
    LOG.log(Level.ERROR, "unexpected failure of a request", e);
    Problem p = Problem.of(ProblemCode.INTERNAL_ERROR, Ran.UNKNOWN, "see the log of the daemon");
    return refuse(p, "").toPromise();
  }

  private Promise<HttpResponse> serve(HttpRequest request, Handler handler) {
    Context context;
    String requestId = "";
    try {
      requestId = readRequestId(request);
      if (!connections.hasHeadMemory()) {
        throw new ProblemException(
            ProblemCode.OVERLOADED, "too many requests are in progress", RETRY_AFTER_MILLIS);
      }
      context = readContext(request, requestId);
    } catch (ProblemException e) {
      HttpResponse refusal = refuse(e.problem(), requestId);
      return BodyReader.discard(request.takeBodyStream(), maxBodyBytes, bodyMemory, scheduler)
          .map(
              isWhole -> {
                if (!isWhole) {
                  closeAfterDelay(request);
                }
                return refusal;
              });
    }
    String id = requestId;
    return BodyReader.read(request.takeBodyStream(), maxBodyBytes, bodyMemory, scheduler)
        .whenException(e -> closeAfterDelay(request))
        .then(body -> handler.handle(request, context, body))
        .then(
            (response, e) ->
                e instanceof ProblemException p
                    ? refuse(p.problem(), id).toPromise()
                    : Promise.of(response, e));
  }

  private void closeAfterDelay(HttpRequest request) {
    CallerConnections.TrackedConnection connection = connections.connectionOf(request);
    if (connection != null) {
      connection.closeAfterDelay();
    }
  }

  private HttpResponse refuse(Problem problem, String requestId) {
    metrics.countRequest(problem.code().toField());
    return ProblemDocuments.toResponse(problem, requestId);
  }

  private static String readRequestId(HttpRequest request) throws ProblemException {
    String key = request.getHeader(IDEMPOTENCY_KEY);
    if (key == null) {
      return UUID.randomUUID().toString();
    }
    if (!IDEMPOTENCY_KEY_PATTERN.matcher(key).matches()) {
      throw malformed("Idempotency-Key must be 1 to 200 printable ASCII characters without \"~\"");
    }
    return key;
  }

  private Context readContext(HttpRequest request, String requestId) throws ProblemException {
    Configuration current =
        configuration
            .current()
            .orElseThrow(() -> new ProblemException(ProblemCode.NO_CONFIGURATION, ""));
    String authorization = request.getHeader(HttpHeaders.AUTHORIZATION);
    if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
      throw new ProblemException(ProblemCode.MISSING_KEY, "expected Authorization: Bearer KEY");
    }
    ClientAccount account =
        keys.find(authorization.substring(BEARER_PREFIX.length()).strip())
            .orElseThrow(() -> new ProblemException(ProblemCode.INVALID_KEY, ""));
    String deadline = header(request, DEADLINE);
    if (!deadline.isEmpty() && !DEADLINE_PATTERN.matcher(deadline).matches()) {
      throw malformed("X-Deadline-Ms must be a positive number of milliseconds");
    }
    return new Context(
        current,
        account,
        new RequestParser.RequestHeaders(
            requestId,
            header(request, BUDGET),
            header(request, REQUEST_CLASS),
            deadline.isEmpty() ? 0 : Long.parseLong(deadline),
            header(request, HttpHeaders.CONTENT_TYPE)));
  }

  private Promise<HttpResponse> handleChat(HttpRequest request, Context context, byte[] body)
      throws ProblemException {
    RequestParser.ChatRequest chat =
        RequestParser.parseChat(
            context.configuration(), context.account(), context.headers(), body);
    CallerConnections.TrackedConnection connection = connections.connectionOf(request);
    if (connection == null) {
      throw malformed("the caller went away");
    }
    ChatResponseWriter responseWriter =
        new ChatResponseWriter(
            context.headers().requestId(),
            chat.request().model(),
            TimeUnit.MILLISECONDS.toSeconds(scheduler.wallMillis()));
    ModelAnswer answer =
        chat.isStreamed()
            ? new StreamedAnswer(responseWriter, metrics, scheduler, connection)
            : new BufferedAnswer(responseWriter, metrics, scheduler);
    answer.setCall(requests.submit(chat.request(), answer));
    connection.setDisconnectTask(answer::cancel);
    return answer.response();
  }

  private Promise<HttpResponse> service(HttpRequest request, Context context, byte[] body)
      throws ProblemException {
    var call =
        RequestParser.parseServiceCall(
            context.configuration(),
            context.account(),
            context.headers(),
            request.getPathParameter("service"),
            request.getPathParameter("method"),
            body);
    String id = context.headers().requestId();
    return Promise.ofFuture(requests.submit(call)).map(outcome -> toOutcomeResponse(outcome, id));
  }

  private HttpResponse toOutcomeResponse(ServiceOutcome outcome, String requestId) {
    if (outcome instanceof ServiceOutcome.Failed f) {
      return refuse(f.problem(), requestId);
    }
    ServiceOutcome.Answered a = (ServiceOutcome.Answered) outcome;
    metrics.countRequest("ok");
    HttpResponse.Builder b =
        HttpResponse.ofCode(a.status())
            .withHeader(ProblemDocuments.REQUEST_ID, requestId)
            .withBody(a.body());
    if (!a.contentType().isEmpty()) {
      b.withHeader(HttpHeaders.CONTENT_TYPE, a.contentType());
    }
    return b.build();
  }

  private Promise<HttpResponse> handleLookUp(HttpRequest request, Context context, byte[] body)
      throws ProblemException {
    String id = request.getPathParameter("id");
    if (!IDEMPOTENCY_KEY_PATTERN.matcher(id).matches()) {
      throw malformed("the request identifier is malformed");
    }
    return Promise.ofFuture(requests.lookUp(new RequestKey(context.account().id(), id)))
        .map(status -> toStatusResponse(status, id));
  }

  private static HttpResponse toStatusResponse(RequestStatus status, String requestId) {
    if (status.state().equals("not_known")) {
      return ProblemDocuments.toResponse(
          Problem.of(ProblemCode.UNKNOWN_REQUEST, status.ran(), ""), requestId);
    }
    ObjectNode document =
        JsonBodies.MAPPER
            .createObjectNode()
            .put("request_id", requestId)
            .put("ran", status.ran().toField())
            .put("state", status.state())
            .put("billed_tokens", status.billedTokens());
    if (status.status() > 0) {
      ObjectNode outcome = document.putObject("outcome").put("status", status.status());
      outcome.put("content_type", status.contentType());
      putBody(outcome, status.body());
    }
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withHeader(ProblemDocuments.REQUEST_ID, requestId)
        .withBody(JsonBodies.write(document))
        .build();
  }

  private static void putBody(ObjectNode outcome, byte[] body) {
    try {
      outcome.put(
          "body", StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString());
    } catch (CharacterCodingException e) {
      outcome.put("body_base64", Base64.getEncoder().encodeToString(body));
    }
  }

  private static String header(HttpRequest request, HttpHeader header) {
    String value = request.getHeader(header);
    return value == null ? "" : value;
  }

  private static ProblemException malformed(String detail) {
    return new ProblemException(ProblemCode.MALFORMED_REQUEST, detail);
  }
}
