package org.hibiscusreel.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.BilledRow;
import org.hibiscusreel.bench.check.EngineRun;
import org.hibiscusreel.bench.check.Observations;
import org.hibiscusreel.bench.check.ServiceRun;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.DispatchMetadata;
import org.hibiscusreel.coordination.port.UsageRecord;
import org.hibiscusreel.core.budget.AllotmentRow;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.recovery.IncarnationRow;

/** Collects the rows of the table service and the calls that the stand-ins recorded. */
final class ObservationCollector {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ProcessTopology topology;

  ObservationCollector(ProcessTopology topology) {
    this.topology = topology;
  }

  /** Sends a GET request; returns the HTTP status code, or -1 if there is no response. */
  int getStatus(String address, String path) throws InterruptedException {
    try {
      return client.send(get(address, path), HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Scans all rows whose keys start with a prefix; returns values by key. */
  Map<String, String> scanRows(String prefix) throws IOException, InterruptedException {
    Map<String, String> rows = new TreeMap<>();
    String after = "";
    boolean more = true;
    while (more) {
      ObjectNode body = mapper.createObjectNode().put("prefix", prefix).put("after", after);
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("http://" + topology.platformAddress + "/v1/table/scan"))
              .timeout(REQUEST_TIMEOUT)
              .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
              .build();
      JsonNode page =
          mapper.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
      if (!page.has("rows")) {
        throw new IOException("the table service returned no rows: " + page);
      }
      for (JsonNode r : page.path("rows")) {
        after = r.path("key").asText();
        rows.put(after, r.path("value").asText());
      }
      more = page.path("more").asBoolean();
    }
    return rows;
  }

  /** Collects the observations that {@link org.hibiscusreel.bench.check.InvariantChecker} needs. */
  Observations collect(List<DemoAttempt> attempts, boolean settled)
      throws IOException, InterruptedException {
    Map<String, BudgetRow> budgets = new HashMap<>();
    scanRows("budget/")
        .forEach((k, v) -> budgets.put(keySegment(k, 1), Json.read(v, BudgetRow.class)));
    Map<String, Map<String, AllotmentRow>> allotments = new HashMap<>();
    scanRows("allotment/")
        .forEach(
            (k, v) ->
                allotments
                    .computeIfAbsent(keySegment(k, 2), b -> new HashMap<>())
                    .put(keySegment(k, 1), Json.read(v, AllotmentRow.class)));
    List<BilledRow> bills = new ArrayList<>();
    scanRows("bill/")
        .forEach(
            (k, v) ->
                bills.add(
                    new BilledRow(keySegment(k, 1), keySegment(k, 2), Json.read(v, Bill.class))));
    List<EngineRun> engineRuns = new ArrayList<>();
    for (Map.Entry<String, String> e : topology.engineAddresses.entrySet()) {
      for (JsonNode g : fetchObserved(e.getValue()).path("generations")) {
        engineRuns.add(engineRun(e.getKey(), g));
      }
    }
    List<ServiceRun> serviceRuns = new ArrayList<>();
    for (Map.Entry<String, String> e : topology.serviceAddresses.entrySet()) {
      for (JsonNode r : fetchObserved(e.getValue()).path("runs")) {
        serviceRuns.add(
            new ServiceRun(
                e.getKey(),
                r.path("method").asText(),
                r.path("key").asText(),
                r.path("atMillis").asLong()));
      }
    }
    return new Observations(
        budgets,
        allotments,
        bills,
        resolveServers(attempts),
        engineRuns,
        serviceRuns,
        Map.of(),
        settled);
  }

  /** Assigns to each attempt the incarnation that ran on its host at the time of the submission. */
  private List<Attempt> resolveServers(List<DemoAttempt> attempts)
      throws IOException, InterruptedException {
    Map<String, IncarnationRow> incarnations = new HashMap<>();
    scanRows("incarnation/")
        .forEach((k, v) -> incarnations.put(keySegment(k, 1), Json.read(v, IncarnationRow.class)));
    List<Attempt> resolved = new ArrayList<>();
    for (DemoAttempt a : attempts) {
      String server = a.host();
      long latest = 0;
      for (Map.Entry<String, IncarnationRow> e : incarnations.entrySet()) {
        IncarnationRow row = e.getValue();
        long startedAt = row.startedAtMillis();
        if (row.host().equals(a.host())
            && startedAt <= a.submittedAtMillis()
            && startedAt > latest) {
          latest = startedAt;
          server = e.getKey();
        }
      }
      resolved.add(a.toAttempt(server));
    }
    return resolved;
  }

  private EngineRun engineRun(String engine, JsonNode g) throws IOException {
    UsageRecord.State state =
        switch (g.path("state").asText()) {
          case "finished" -> UsageRecord.State.FINISHED;
          case "cancelled" -> UsageRecord.State.CANCELLED;
          case "queued", "running" -> UsageRecord.State.RUNNING;
          default -> UsageRecord.State.ABORTED;
        };
    return new EngineRun(
        engine,
        g.path("stream_id").asText(),
        Json.read(g.path("metadata").toString(), DispatchMetadata.class),
        g.path("created_at_millis").asLong(),
        g.path("prompt_tokens").asLong(),
        g.path("completion_tokens").asLong(),
        state);
  }

  private JsonNode fetchObserved(String address) throws IOException, InterruptedException {
    HttpResponse<String> r =
        client.send(get(address, "/observed"), HttpResponse.BodyHandlers.ofString());
    return mapper.readTree(r.body());
  }

  private static HttpRequest get(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(REQUEST_TIMEOUT)
        .build();
  }

  private static String keySegment(String key, int index) {
    String[] parts = key.split("/", -1);
    return parts[index].replace("%2F", "/").replace("%25", "%");
  }
}
