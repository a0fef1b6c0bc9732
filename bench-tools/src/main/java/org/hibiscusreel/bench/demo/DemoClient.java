package org.hibiscusreel.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.bench.standin.Generation;
import org.hibiscusreel.core.request.Ran;

/** HTTP client that sends one attempt of a request and classifies the response. */
final class DemoClient {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  /**
   * Sends an attempt to a daemon and waits for the whole response.
   *
   * @param address IP address and port of the caller API of a daemon
   * @param call the request
   * @return the outcome, or empty if the connection failed for another reason than a timeout
   */
  Optional<Outcome> send(String address, DemoCall call) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + call.path()))
            .timeout(REQUEST_TIMEOUT)
            .header("Authorization", "Bearer " + ProcessTopology.clientKey(call.account()))
            .header("Idempotency-Key", call.id())
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(call.body(), StandardCharsets.UTF_8))
            .build();
    try {
      if (call.kind() == DemoCall.Kind.STREAMED) {
        return Optional.of(parseStream(client.send(request, HttpResponse.BodyHandlers.ofLines())));
      }
      return Optional.of(
          parseResponse(client.send(request, HttpResponse.BodyHandlers.ofString()), call));
    } catch (ConnectException e) {
      return Optional.empty();
    } catch (IOException | java.io.UncheckedIOException e) {
      return Optional.of(new Outcome.Broken(String.valueOf(e)));
    }
  }

  private Outcome parseResponse(HttpResponse<String> response, DemoCall call) throws IOException {
    JsonNode json = mapper.readTree(response.body());
    if (response.statusCode() != 200) {
      return parseError(json);
    }
    return new Outcome.Whole(
        call.isService()
            ? json.path("receipt").asText()
            : json.at("/choices/0/message/content").asText());
  }

  private Outcome parseStream(HttpResponse<Stream<String>> response) throws IOException {
    if (response.statusCode() != 200) {
      return parseError(mapper.readTree(String.join("", response.body().toList())));
    }
    StringBuilder text = new StringBuilder();
    String digest = "";
    boolean isError = false;
    Iterator<String> lines = response.body().iterator();
    while (lines.hasNext()) {
      String line = lines.next();
      isError |= line.startsWith("event: error");
      if (!line.startsWith("data: ")) {
        continue;
      }
      String data = line.substring("data: ".length());
      if (data.equals("[DONE]")) {
        return digest.equals(Generation.sha256(text.toString()))
            ? new Outcome.Whole(text.toString())
            : new Outcome.Broken("the digest differs from the text");
      }
      JsonNode json = mapper.readTree(data);
      if (isError) {
        return parseError(json);
      }
      text.append(json.at("/choices/0/delta/content").asText(""));
      digest = json.at("/hibiscusreel/sha256").asText(digest);
    }
    return new Outcome.Broken("the stream ended without its end marker");
  }

  private static Outcome parseError(JsonNode problem) {
    String ran = problem.path("ran").asText("unknown").toUpperCase(Locale.ROOT);
    return new Outcome.Refused(problem.path("code").asText(), Ran.valueOf(ran));
  }
}
