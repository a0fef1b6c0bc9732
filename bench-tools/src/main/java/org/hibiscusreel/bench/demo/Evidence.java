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

/** Collects the platform's rows and what the stand-ins saw. */
final class Evidence {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Topology topology;

  Evidence(Topology topology) {
    this.topology = topology;
  }

  /** Returns the status of a GET, or -1 if there is no response. */
  int status(String address, String path) throws InterruptedException {
    try {
      return client.send(get(address, path), HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return -1;
    }
  }

  /** Returns all rows with a prefix by key. */
  Map<String, String> rows(String prefix) throws IOException, InterruptedException {
    Map<String, String> rows = new TreeMap<>();
    String after = "";
    boolean more = true;
    while (more) {
      ObjectNode body = mapper.createObjectNode().put("prefix", prefix).put("after", after);
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + topology.platform + "/v1/table/scan"))
              .timeout(TIMEOUT)
              .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
              .build();
      JsonNode page =
          mapper.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
      if (!page.has("rows")) {
        throw new IOException("the table service did not scan: " + page);
      }
      for (JsonNode r : page.path("rows")) {
        after = r.path("key").asText();
        rows.put(after, r.path("value").asText());
      }
      more = page.path("more").asBoolean();
    }
    return rows;
  }

  /** Collects everything that the checker needs. */
  Observations collect(List<DemoAttempt> attempts, boolean settled)
      throws IOException, InterruptedException {
    Map<String, BudgetRow> budgets = new HashMap<>();
    rows("budget/").forEach((k, v) -> budgets.put(part(k, 1), Json.read(v, BudgetRow.class)));
    Map<String, Map<String, AllotmentRow>> allotments = new HashMap<>();
    rows("allotment/")
        .forEach(
            (k, v) ->
                allotments
                    .computeIfAbsent(part(k, 2), b -> new HashMap<>())
                    .put(part(k, 1), Json.read(v, AllotmentRow.class)));
    List<BilledRow> bills = new ArrayList<>();
    rows("bill/")
        .forEach(
            (k, v) -> bills.add(new BilledRow(part(k, 1), part(k, 2), Json.read(v, Bill.class))));
    List<EngineRun> engineRuns = new ArrayList<>();
    for (Map.Entry<String, String> e : topology.engines.entrySet()) {
      for (JsonNode g : observed(e.getValue()).path("generations")) {
        engineRuns.add(engineRun(e.getKey(), g));
      }
    }
    List<ServiceRun> serviceRuns = new ArrayList<>();
    for (Map.Entry<String, String> e : topology.services.entrySet()) {
      for (JsonNode r : observed(e.getValue()).path("runs")) {
        serviceRuns.add(
            new ServiceRun(
                e.getKey(),
                r.path("method").asText(),
                r.path("key").asText(),
                r.path("atMillis").asLong()));
      }
    }
    return new Observations(
        budgets, allotments, bills, named(attempts), engineRuns, serviceRuns, Map.of(), settled);
  }

  /** An attempt was sent to an address; the incarnation that listened there then is its server. */
  private List<Attempt> named(List<DemoAttempt> attempts) throws IOException, InterruptedException {
    Map<String, IncarnationRow> incarnations = new HashMap<>();
    rows("incarnation/")
        .forEach((k, v) -> incarnations.put(part(k, 1), Json.read(v, IncarnationRow.class)));
    List<Attempt> named = new ArrayList<>();
    for (DemoAttempt a : attempts) {
      String server = a.host();
      long latest = 0;
      for (Map.Entry<String, IncarnationRow> e : incarnations.entrySet()) {
        IncarnationRow row = e.getValue();
        long startedAt = row.startedAtMillis();
        if (row.host().equals(a.host()) && startedAt <= a.submittedAt() && startedAt > latest) {
          latest = startedAt;
          server = e.getKey();
        }
      }
      named.add(a.toAttempt(server));
    }
    return named;
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

  private JsonNode observed(String address) throws IOException, InterruptedException {
    HttpResponse<String> r =
        client.send(get(address, "/observed"), HttpResponse.BodyHandlers.ofString());
    return mapper.readTree(r.body());
  }

  private static HttpRequest get(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT).build();
  }

  private static String part(String key, int index) {
    String[] parts = key.split("/", -1);
    return parts[index].replace("%2F", "/").replace("%25", "%");
  }
}
