package org.hibiscusreel.bench.standin;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Simulates a plain service that executes each call it receives, including repeated ones. */
final class ServiceRole implements Role {

  private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

  /** One execution of a call. */
  record Run(String key, String method, long atMillis) {}

  private final FaultInjector faultInjector;
  private final Faults faults;
  private final int runMillis;
  private final List<Run> runs = new ArrayList<>();
  private final Map<String, Integer> runCounts = new LinkedHashMap<>();

  ServiceRole(FaultInjector faultInjector, Faults faults, int runMillis) {
    this.faultInjector = faultInjector;
    this.faults = faults;
    this.runMillis = runMillis;
  }

  @Override
  public boolean serves(String path) {
    return !path.startsWith("/v1/");
  }

  @Override
  public boolean isWrite(HttpRequest request) {
    return request.getMethod() == HttpMethod.POST;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body) {
    if (!isWrite(request)) {
      return JsonHttp.error(405, "only POST").toPromise();
    }
    String key = String.valueOf(request.getHeader(IDEMPOTENCY_KEY));
    String method = path.substring(1);
    runs.add(new Run(key, method, System.currentTimeMillis()));
    int count = runCounts.merge(key + " " + method, 1, Integer::sum);
    if (!faults.crashMarker.isEmpty()
        && new String(body, StandardCharsets.UTF_8).contains(faults.crashMarker)) {
      faultInjector.crash();
      return Promise.ofException(new IOException("crashed"));
    }
    HttpResponse receipt =
        JsonHttp.json(
            200,
            Map.of("receipt", Generation.receipt(key, method), "method", method, "run", count));
    return Promises.delay(runMillis, receipt);
  }

  @Override
  public Object observed() {
    return Map.of("runs", runs, "run_counts", runCounts);
  }
}
