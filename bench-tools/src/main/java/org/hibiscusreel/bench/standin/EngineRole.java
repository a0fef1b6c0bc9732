package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A model engine with continuous batching: each step produces one token of every running
 * generation.
 */
final class EngineRole implements Role {

  private static final HttpHeader STREAM_ID = HttpHeaders.of("X-Stream-Id");
  private static final HttpHeader METADATA = HttpHeaders.of("X-Request-Metadata");
  private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
  private static final String STREAMS = "/v1/streams/";

  /** Time that an ended stream can still be resumed. */
  private static final long KEEP_MILLIS = 60_000;

  private static final int MICROS_PER_MILLI = 1000;

  private final Reactor reactor;
  private final Gate gate;
  private final Faults faults;
  private final StandInSettings settings;
  private final PrefixCache cache;
  private final Map<String, EngineStream> streams = new LinkedHashMap<>();
  private final List<EngineStream> running = new ArrayList<>();
  private final PriorityQueue<EngineStream> queue =
      new PriorityQueue<>(
          Comparator.comparingInt((EngineStream s) -> -s.priority())
              .thenComparingLong(EngineStream::order));
  private final List<EngineStream> all = new ArrayList<>();
  private final List<Map<String, Object>> usage = new ArrayList<>();
  private final List<JsonNode> orders = new ArrayList<>();
  private final Deque<Map<String, Object>> reports = new ArrayDeque<>();
  private JsonNode state =
      Http.MAPPER.valueToTree(
          Map.of("fencing", 0, "models", List.of(), "adapters", List.of(), "role", ""));

  EngineRole(Reactor reactor, Gate gate, Faults faults, StandInSettings settings) {
    this.reactor = reactor;
    this.gate = gate;
    this.faults = faults;
    this.settings = settings;
    this.cache =
        new PrefixCache(
            settings.cacheBlocks,
            settings.cacheEventLagMs,
            settings.cacheEventGap,
            settings.seed,
            reactor::currentTimeMillis);
    // Served until a later report is old enough.
    reports.addLast(snapshot());
    reactor.delay(settings.stepMs, this::step);
  }

  @Override
  public boolean serves(String path) {
    return path.startsWith("/v1/");
  }

  @Override
  public boolean isWrite(HttpRequest request) {
    return request.getMethod() == HttpMethod.PUT;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body) {
    if (path.startsWith(STREAMS)) {
      return stream(request, path.substring(STREAMS.length())).toPromise();
    }
    return switch (path) {
      case "/v1/chat/completions" -> generate(request, body);
      case "/v1/load" -> Http.json(200, report()).toPromise();
      case "/v1/cache/events" ->
          Http.json(200, Map.of("events", cache.eventsAfter(Http.number(request, "after"))))
              .toPromise();
      case "/v1/usage" -> usage(request).toPromise();
      case "/v1/state" -> order(request, body).toPromise();
      default -> Http.error(404, "no such path").toPromise();
    };
  }

  private Promise<HttpResponse> generate(HttpRequest request, byte[] body) {
    JsonNode json = Http.read(body);
    if (!json.path("stream").asBoolean()) {
      throw new IllegalArgumentException("only \"stream\":true is served");
    }
    Generation generation = Generation.of(json);
    String given = request.getHeader(STREAM_ID);
    String id = given == null ? "unnamed." + all.size() : given;
    if (streams.containsKey(id)) {
      return Http.error(409, "the stream exists").toPromise();
    }
    boolean isFull = running.size() >= settings.capacity;
    if (isFull && queue.size() >= settings.queue) {
      HttpHeader retryAfter = HttpHeaders.of("Retry-After");
      return HttpResponse.ofCode(503).withHeader(retryAfter, "1").build().toPromise();
    }
    String priority = request.getHeader(PRIORITY);
    long now = reactor.currentTimeMillis();
    EngineStream s =
        new EngineStream(
            id,
            metadata(request),
            priority == null ? 0 : Integer.parseInt(priority),
            all.size(),
            generation,
            now);
    streams.put(id, s);
    all.add(s);
    queue.add(s);
    if (!faults.crashMarker.isEmpty() && generation.prompt().contains(faults.crashMarker)) {
      gate.crash();
      return Promise.ofException(new IOException("crashed"));
    }
    fill(now);
    return events(s, 0).toPromise();
  }

  private static JsonNode metadata(HttpRequest request) {
    String text = request.getHeader(METADATA);
    return text == null
        ? Http.MAPPER.createObjectNode()
        : Http.read(Base64.getUrlDecoder().decode(text));
  }

  private HttpResponse events(EngineStream s, int offset) {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
        .withBodyStream(s.read(offset, reactor::currentTimeMillis))
        .build();
  }

  private HttpResponse stream(HttpRequest request, String id) {
    EngineStream s = streams.get(id);
    if (s == null) {
      return Http.error(404, "no such stream");
    }
    boolean isOpen = isActive(s);
    if (request.getMethod() == HttpMethod.DELETE) {
      if (isOpen) {
        end(s, EngineStream.State.CANCELLED);
      }
      return Http.json(200, Map.of());
    }
    if (!isOpen && s.state() != EngineStream.State.FINISHED) {
      return Http.error(410, "the stream ended early");
    }
    return events(s, (int) Http.number(request, "offset"));
  }

  private static boolean isActive(EngineStream s) {
    return s.state() == EngineStream.State.QUEUED || s.state() == EngineStream.State.RUNNING;
  }

  private HttpResponse usage(HttpRequest request) {
    String server = request.getQueryParameter("server");
    long after = Http.number(request, "after");
    List<Map<String, Object>> found = new ArrayList<>();
    for (Map<String, Object> r : usage) {
      String of = ((JsonNode) r.get("metadata")).path("server").asText();
      if ((long) r.get("seq") > after && (server == null || server.equals(of))) {
        found.add(r);
      }
    }
    return Http.json(200, Map.of("records", found));
  }

  private HttpResponse order(HttpRequest request, byte[] body) {
    if (!isWrite(request)) {
      return Http.json(200, state);
    }
    JsonNode next = Http.read(body);
    boolean isChecked = !settings.ignoreFencing && !faults.fencingIgnored;
    orders.add(next);
    if (isChecked && next.path("fencing").asLong() < state.path("fencing").asLong()) {
      return Http.error(409, "the fencing number is stale");
    }
    state = next;
    return Http.json(200, state);
  }

  /** Returns the newest report that is old enough. */
  private Map<String, Object> report() {
    long until = reactor.currentTimeMillis() - settings.loadLagMs - faults.loadLagMs;
    Map<String, Object> best = reports.peekFirst();
    for (Map<String, Object> r : reports) {
      if ((long) r.get("at_millis") <= until) {
        best = r;
      }
    }
    return best == null ? snapshot() : best;
  }

  private Map<String, Object> snapshot() {
    return Map.of(
        "running", running.size(),
        "queued", queue.size(),
        "capacity", settings.capacity,
        "leaving", faults.leaving,
        "at_millis", reactor.currentTimeMillis());
  }

  private void step() {
    long now = reactor.currentTimeMillis();
    for (EngineStream s : List.copyOf(running)) {
      if (isActive(s) && s.step(now)) {
        running.remove(s);
        record(s);
      }
    }
    streams.values().stream()
        .filter(s -> isActive(s) && s.isAbandoned(now, settings.abortMs))
        .toList()
        .forEach(s -> end(s, EngineStream.State.ABORTED));
    streams.values().removeIf(s -> !isActive(s) && now - s.endedAt() > KEEP_MILLIS);
    fill(now);
    keepReport(now);
    reactor.delay(settings.stepMs, this::step);
  }

  private void keepReport(long now) {
    Map<String, Object> last = reports.peekLast();
    if (last == null || now - (long) last.get("at_millis") >= 50) {
      reports.addLast(snapshot());
    }
    while (now - (long) reports.getFirst().get("at_millis") > KEEP_MILLIS) {
      reports.removeFirst();
    }
  }

  private void fill(long now) {
    while (running.size() < settings.capacity && !queue.isEmpty()) {
      EngineStream s = queue.poll();
      double uncached = 1 - cache.use(s.generation().prompt());
      double micros = uncached * s.generation().promptTokens() * settings.prefillUsPerToken;
      s.run(now + settings.prefillMs + (long) micros / MICROS_PER_MILLI);
      running.add(s);
    }
  }

  private void end(EngineStream s, EngineStream.State how) {
    running.remove(s);
    queue.remove(s);
    s.end(how, reactor.currentTimeMillis());
    record(s);
  }

  private void record(EngineStream s) {
    Map<String, Object> r = new LinkedHashMap<>(s.observed());
    r.keySet().retainAll(List.of("stream_id", "metadata", "prompt_tokens", "completion_tokens"));
    r.put("seq", (long) usage.size() + 1);
    r.put(
        "state",
        switch (s.state()) {
          case FINISHED -> "finished";
          case CANCELLED -> "cancelled";
          default -> "aborted";
        });
    usage.add(r);
  }

  @Override
  public void crash() {
    streams.values().stream()
        .filter(EngineRole::isActive)
        .toList()
        .forEach(s -> end(s, EngineStream.State.CRASHED));
    streams.clear();
    cache.clear();
  }

  @Override
  public Object observed() {
    return Map.of(
        "generations",
        all.stream().map(EngineStream::observed).toList(),
        "orders",
        orders,
        "running",
        running.size());
  }
}
