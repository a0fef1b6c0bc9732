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
import org.hibiscusreel.daemon.http.CallerConnections;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Serves the caller API. */
final class CallerServlet {

  private static final Logger LOG = System.getLogger(CallerServlet.class.getName());
  private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.register("Idempotency-Key");
  private static final HttpHeader BUDGET = HttpHeaders.register("X-Budget");
  private static final HttpHeader REQUEST_CLASS = HttpHeaders.register("X-Class");
  private static final HttpHeader DEADLINE = HttpHeaders.register("X-Deadline-Ms");

  /**
   * Bytes of bodies that are being read at once. Without a bound, some hundred callers that send
   * large bodies slowly would fill the heap.
   */
  private static final long MAX_BODY_MEMORY_BYTES = 64L * 1024 * 1024;

  private static final String BEARER = "Bearer ";

  /**
   * Printable ASCII without the tilde, which separates a key from a fingerprint in the bill of a
   * key that was used again. A key with a tilde could take the place of such a bill.
   */
  private static final Pattern KEY = Pattern.compile("[!-}]{1,200}");

  private static final Pattern DEADLINE_MILLIS = Pattern.compile("[1-9][0-9]{0,8}");

  private final RequestService requests;
  private final ConfigurationView configuration;
  private final ClientKeys keys;
  private final DaemonMetrics metrics;
  private final Scheduler scheduler;
  private final CallerConnections connections;
  private final int maxBodyBytes;
  private final BodyReader.Memory bodyMemory = new BodyReader.Memory(MAX_BODY_MEMORY_BYTES);

  CallerServlet(
      RequestService requests,
      ConfigurationView configuration,
      DaemonMetrics metrics,
      Scheduler scheduler,
      CallerConnections connections,
      int maxBodyBytes) {
    this.requests = requests;
    this.configuration = configuration;
    this.keys = new ClientKeys(configuration);
    this.metrics = metrics;
    this.scheduler = scheduler;
    this.connections = connections;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** What is known of a request before its body is read. */
  private record Context(
      Configuration configuration, ClientAccount account, RequestReader.Headers headers) {}

  /** Handles a request whose body was read. */
  @FunctionalInterface
  private interface Handler {

    Promise<HttpResponse> handle(HttpRequest request, Context context, byte[] body)
        throws ProblemException;
  }

  AsyncServlet toServlet(Reactor reactor) {
    return RoutingServlet.builder(reactor)
        .with(HttpMethod.POST, "/v1/chat/completions", r -> serve(r, this::chat))
        .with(HttpMethod.POST, "/v1/services/:service/:method", r -> serve(r, this::service))
        .with(HttpMethod.GET, "/v1/requests/:id", r -> serve(r, this::lookUp))
        .build();
  }

  /** Turns a fault of the protocol into a problem document. */
  Promise<HttpResponse> formatException(Exception e) {
    if (e instanceof ProblemException p) {
      return refuse(p.problem(), "").toPromise();
    }
    if (e instanceof ModelAnswer.CallerGoneException) {
      Problem p = Problem.of(ProblemCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, e.getMessage());
      return ProblemDocuments.toResponse(p, "").toPromise();
    }
    if (e instanceof HttpException) {
      String detail = e.getMessage() == null ? "no such path or method" : e.getMessage();
      return refuse(Problem.notRun(ProblemCode.MALFORMED_REQUEST, detail), "").toPromise();
    }
    LOG.log(Level.ERROR, "a request failed", e);
    Problem p = Problem.of(ProblemCode.INTERNAL_ERROR, Ran.UNKNOWN, "see the log of the daemon");
    return refuse(p, "").toPromise();
  }

  private Promise<HttpResponse> serve(HttpRequest request, Handler handler) {
    Context context;
    String requestId = "";
    try {
      requestId = readRequestId(request);
      context = readContext(request, requestId);
    } catch (ProblemException e) {
      HttpResponse refusal = refuse(e.problem(), requestId);
      return BodyReader.discard(request.takeBodyStream(), maxBodyBytes, bodyMemory, scheduler)
          .map(
              isWhole -> {
                if (!isWhole) {
                  closeSoon(request);
                }
                return refusal;
              });
    }
    String id = requestId;
    return BodyReader.read(request.takeBodyStream(), maxBodyBytes, bodyMemory, scheduler)
        .whenException(e -> closeSoon(request))
        .then(body -> handler.handle(request, context, body))
        .then(
            (response, e) ->
                e instanceof ProblemException p
                    ? refuse(p.problem(), id).toPromise()
                    : Promise.of(response, e));
  }

  private void closeSoon(HttpRequest request) {
    CallerConnections.Entry e = connections.entry(request);
    if (e != null) {
      e.closeSoon();
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
    if (!KEY.matcher(key).matches()) {
      throw malformed("Idempotency-Key must be 1 to 200 printable ASCII characters without \"~\"");
    }
    return key;
  }

  private Context readContext(HttpRequest request, String requestId) throws ProblemException {
    Configuration c =
        configuration
            .current()
            .orElseThrow(() -> new ProblemException(ProblemCode.NO_CONFIGURATION, ""));
    String authorization = request.getHeader(HttpHeaders.AUTHORIZATION);
    if (authorization == null || !authorization.startsWith(BEARER)) {
      throw new ProblemException(ProblemCode.MISSING_KEY, "expected Authorization: Bearer KEY");
    }
    ClientAccount account =
        keys.find(authorization.substring(BEARER.length()).strip())
            .orElseThrow(() -> new ProblemException(ProblemCode.INVALID_KEY, ""));
    String deadline = header(request, DEADLINE);
    if (!deadline.isEmpty() && !DEADLINE_MILLIS.matcher(deadline).matches()) {
      throw malformed("X-Deadline-Ms must be a positive number of milliseconds");
    }
    return new Context(
        c,
        account,
        new RequestReader.Headers(
            requestId,
            header(request, BUDGET),
            header(request, REQUEST_CLASS),
            deadline.isEmpty() ? 0 : Long.parseLong(deadline),
            header(request, HttpHeaders.CONTENT_TYPE)));
  }

  private Promise<HttpResponse> chat(HttpRequest request, Context context, byte[] body)
      throws ProblemException {
    RequestReader.Chat chat =
        RequestReader.readChat(context.configuration(), context.account(), context.headers(), body);
    CallerConnections.Entry connection = connections.entry(request);
    if (connection == null) {
      throw malformed("the caller went away");
    }
    ChatDocuments documents =
        new ChatDocuments(
            context.headers().requestId(),
            chat.request().model(),
            TimeUnit.MILLISECONDS.toSeconds(scheduler.wallMillis()));
    ModelAnswer answer =
        chat.isStreamed()
            ? new StreamedAnswer(documents, metrics, scheduler, connection)
            : new WholeAnswer(documents, metrics, scheduler);
    answer.attach(requests.submit(chat.request(), answer));
    connection.watch(answer::cancel);
    return answer.response();
  }

  private Promise<HttpResponse> service(HttpRequest request, Context context, byte[] body)
      throws ProblemException {
    var call =
        RequestReader.readService(
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

  private Promise<HttpResponse> lookUp(HttpRequest request, Context context, byte[] body)
      throws ProblemException {
    String id = request.getPathParameter("id");
    if (!KEY.matcher(id).matches()) {
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
    ObjectNode n =
        JsonBodies.MAPPER
            .createObjectNode()
            .put("request_id", requestId)
            .put("ran", status.ran().toField())
            .put("state", status.state())
            .put("billed_tokens", status.billedTokens());
    if (status.status() > 0) {
      ObjectNode outcome = n.putObject("outcome").put("status", status.status());
      outcome.put("content_type", status.contentType());
      putBody(outcome, status.body());
    }
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withHeader(ProblemDocuments.REQUEST_ID, requestId)
        .withBody(JsonBodies.write(n))
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
    String v = request.getHeader(header);
    return v == null ? "" : v;
  }

  private static ProblemException malformed(String detail) {
    return new ProblemException(ProblemCode.MALFORMED_REQUEST, detail);
  }
}
