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
 * Simulates a model engine with continuous batching: each step produces one token of every running
 * generation.
 */
final class EngineRole implements Role {

  private static final HttpHeader STREAM_ID = HttpHeaders.of("X-Stream-Id");
  private static final HttpHeader METADATA = HttpHeaders.of("X-Request-Metadata");
  private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
  private static final String STREAMS_PATH = "/v1/streams/";

  /** Time that ended streams can be resumed and load reports are kept, in milliseconds. */
  private static final long RETENTION_MILLIS = 60_000;

  private static final int MICROS_PER_MILLI = 1000;

  private final Reactor reactor;
  private final FaultInjector faultInjector;
  private final Faults faults;
  private final StandInSettings settings;
  private final PrefixCache cache;
  private final Map<String, EngineStream> streams = new LinkedHashMap<>();
  private final List<EngineStream> running = new ArrayList<>();
  private final PriorityQueue<EngineStream> queue =
      new PriorityQueue<>(
          Comparator.comparingInt((EngineStream stream) -> -stream.priority())
              .thenComparingLong(EngineStream::arrivalIndex));
  private final List<EngineStream> allStreams = new ArrayList<>();
  private final List<Map<String, Object>> usage = new ArrayList<>();
  private final List<JsonNode> orders = new ArrayList<>();
  private final Deque<Map<String, Object>> loadReports = new ArrayDeque<>();
  private JsonNode state =
      JsonHttp.MAPPER.valueToTree(
          Map.of("fencing", 0, "models", List.of(), "adapters", List.of(), "role", ""));

  EngineRole(
      Reactor reactor, FaultInjector faultInjector, Faults faults, StandInSettings settings) {
    this.reactor = reactor;
    this.faultInjector = faultInjector;
    this.faults = faults;
    this.settings = settings;
    this.cache =
        new PrefixCache(
            settings.cacheBlocks,
            settings.cacheEventLagMs,
            settings.cacheEventGap,
            settings.seed,
            reactor::currentTimeMillis);
    // Returned until a later report has reached the configured age.
    loadReports.addLast(currentLoad());
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
    if (path.startsWith(STREAMS_PATH)) {
      return serveStream(request, path.substring(STREAMS_PATH.length())).toPromise();
    }
    return switch (path) {
      case "/v1/chat/completions" -> serveGeneration(request, body);
      case "/v1/load" -> JsonHttp.json(200, laggedLoadReport()).toPromise();
      case "/v1/cache/events" ->
          JsonHttp.json(
                  200,
                  Map.of("events", cache.eventsAfter(JsonHttp.longParameter(request, "after"))))
              .toPromise();
      case "/v1/usage" -> serveUsage(request).toPromise();
      case "/v1/state" -> serveState(request, body).toPromise();
      default -> JsonHttp.error(404, "no such path").toPromise();
    };
  }

  private Promise<HttpResponse> serveGeneration(HttpRequest request, byte[] body) {
    JsonNode json = JsonHttp.parse(body);
    if (!json.path("stream").asBoolean()) {
      throw new IllegalArgumentException("only \"stream\":true is served");
    }
    Generation generation = Generation.of(json);
    String requestedId = request.getHeader(STREAM_ID);
    String id = requestedId == null ? "unnamed." + allStreams.size() : requestedId;
    if (streams.containsKey(id)) {
      return JsonHttp.error(409, "the stream exists").toPromise();
    }
    boolean isFull = running.size() >= settings.capacity;
    if (isFull && queue.size() >= settings.queue) {
      HttpHeader retryAfter = HttpHeaders.of("Retry-After");
      return HttpResponse.ofCode(503).withHeader(retryAfter, "1").build().toPromise();
    }
    String priority = request.getHeader(PRIORITY);
    long nowMillis = reactor.currentTimeMillis();
    EngineStream stream =
        new EngineStream(
            id,
            metadata(request),
            priority == null ? 0 : Integer.parseInt(priority),
            allStreams.size(),
            generation,
            nowMillis);
    streams.put(id, stream);
    allStreams.add(stream);
    queue.add(stream);
    if (!faults.crashMarker.isEmpty() && generation.prompt().contains(faults.crashMarker)) {
      faultInjector.crash();
      return Promise.ofException(new IOException("crashed"));
    }
    startQueuedStreams(nowMillis);
    return eventStream(stream, 0).toPromise();
  }

  private static JsonNode metadata(HttpRequest request) {
    String text = request.getHeader(METADATA);
    return text == null
        ? JsonHttp.MAPPER.createObjectNode()
        : JsonHttp.parse(Base64.getUrlDecoder().decode(text));
  }

  private HttpResponse eventStream(EngineStream stream, int offset) {
    return HttpResponse.ok200()
        .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
        .withBodyStream(stream.read(offset, reactor::currentTimeMillis))
        .build();
  }

  private HttpResponse serveStream(HttpRequest request, String id) {
    EngineStream stream = streams.get(id);
    if (stream == null) {
      return JsonHttp.error(404, "no such stream");
    }
    boolean isOpen = isActive(stream);
    if (request.getMethod() == HttpMethod.DELETE) {
      if (isOpen) {
        endStream(stream, EngineStream.State.CANCELLED);
      }
      return JsonHttp.json(200, Map.of());
    }
    if (!isOpen && stream.state() != EngineStream.State.FINISHED) {
      return JsonHttp.error(410, "the stream ended early");
    }
    return eventStream(stream, (int) JsonHttp.longParameter(request, "offset"));
  }

  private static boolean isActive(EngineStream stream) {
    return stream.state() == EngineStream.State.QUEUED
        || stream.state() == EngineStream.State.RUNNING;
  }

  private HttpResponse serveUsage(HttpRequest request) {
    String server = request.getQueryParameter("server");
    long after = JsonHttp.longParameter(request, "after");
    List<Map<String, Object>> found = new ArrayList<>();
    for (Map<String, Object> usageRecord : usage) {
      String recordServer = ((JsonNode) usageRecord.get("metadata")).path("server").asText();
      if ((long) usageRecord.get("seq") > after
          && (server == null || server.equals(recordServer))) {
        found.add(usageRecord);
      }
    }
    return JsonHttp.json(200, Map.of("records", found));
  }

  private HttpResponse serveState(HttpRequest request, byte[] body) {
    if (!isWrite(request)) {
      return JsonHttp.json(200, state);
    }
    JsonNode next = JsonHttp.parse(body);
    boolean isChecked = !settings.ignoreFencing && !faults.fencingIgnored;
    orders.add(next);
    if (isChecked && next.path("fencing").asLong() < state.path("fencing").asLong()) {
      return JsonHttp.error(409, "the fencing number is stale");
    }
    state = next;
    return JsonHttp.json(200, state);
  }

  /** Returns the newest load report that has reached the configured age. */
  private Map<String, Object> laggedLoadReport() {
    long latestMillis = reactor.currentTimeMillis() - settings.loadLagMs - faults.loadLagMs;
    Map<String, Object> newest = loadReports.peekFirst();
    for (Map<String, Object> report : loadReports) {
      if ((long) report.get("at_millis") <= latestMillis) {
        newest = report;
      }
    }
    return newest == null ? currentLoad() : newest;
  }

  private Map<String, Object> currentLoad() {
    return Map.of(
        "running", running.size(),
        "queued", queue.size(),
        "capacity", settings.capacity,
        "leaving", faults.leaving,
        "at_millis", reactor.currentTimeMillis());
  }

  private void step() {
    long nowMillis = reactor.currentTimeMillis();
    for (EngineStream stream : List.copyOf(running)) {
      if (isActive(stream) && stream.step(nowMillis)) {
        running.remove(stream);
        recordUsage(stream);
      }
    }
    streams.values().stream()
        .filter(stream -> isActive(stream) && stream.isAbandoned(nowMillis, settings.abortMs))
        .toList()
        .forEach(stream -> endStream(stream, EngineStream.State.ABORTED));
    streams
        .values()
        .removeIf(
            stream -> !isActive(stream) && nowMillis - stream.endedAtMillis() > RETENTION_MILLIS);
    startQueuedStreams(nowMillis);
    recordLoad(nowMillis);
    reactor.delay(settings.stepMs, this::step);
  }

  private void recordLoad(long nowMillis) {
    Map<String, Object> last = loadReports.peekLast();
    if (last == null || nowMillis - (long) last.get("at_millis") >= 50) {
      loadReports.addLast(currentLoad());
    }
    while (nowMillis - (long) loadReports.getFirst().get("at_millis") > RETENTION_MILLIS) {
      loadReports.removeFirst();
    }
  }

  private void startQueuedStreams(long nowMillis) {
    while (running.size() < settings.capacity && !queue.isEmpty()) {
      EngineStream stream = queue.poll();
      double uncached = 1 - cache.lookUpAndStore(stream.generation().prompt());
      double micros = uncached * stream.generation().promptTokens() * settings.prefillUsPerToken;
      stream.start(nowMillis + settings.prefillMs + (long) micros / MICROS_PER_MILLI);
      running.add(stream);
    }
  }

  private void endStream(EngineStream stream, EngineStream.State finalState) {
    running.remove(stream);
    queue.remove(stream);
    stream.end(finalState, reactor.currentTimeMillis());
    recordUsage(stream);
  }

  private void recordUsage(EngineStream stream) {
    Map<String, Object> usageRecord = new LinkedHashMap<>(stream.observed());
    usageRecord
        .keySet()
        .retainAll(List.of("stream_id", "metadata", "prompt_tokens", "completion_tokens"));
    usageRecord.put("seq", (long) usage.size() + 1);
    usageRecord.put(
        "state",
        switch (stream.state()) {
          case FINISHED -> "finished";
          case CANCELLED -> "cancelled";
          default -> "aborted";
        });
    usage.add(usageRecord);
  }

  @Override
  public void crash() {
    streams.values().stream()
        .filter(EngineRole::isActive)
        .toList()
        .forEach(stream -> endStream(stream, EngineStream.State.CRASHED));
    streams.clear();
    cache.clear();
  }

  @Override
  public Object observed() {
    return Map.of(
        "generations",
        allStreams.stream().map(EngineStream::observed).toList(),
        "orders",
        orders,
        "running",
        running.size());
  }
}
