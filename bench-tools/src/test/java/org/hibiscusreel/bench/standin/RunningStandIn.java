package org.hibiscusreel.bench.standin;

import com.beust.jcommander.JCommander;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A stand-in that runs on its own event loop and loopback port, with an HTTP client for tests. */
final class RunningStandIn implements AutoCloseable {

  private final Eventloop loop = Eventloop.create();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final HttpServer server;
  private final String base;

  RunningStandIn(String... flags) throws Exception {
    int port;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    base = "http://127.0.0.1:" + port;
    List<String> all = new ArrayList<>(List.of(flags));
    all.addAll(List.of("--listen", "127.0.0.1:" + port));
    StandInSettings settings = new StandInSettings();
    JCommander.newBuilder().addObject(settings).build().parse(all.toArray(new String[0]));
    loop.keepAlive(true);
    Thread thread = new Thread(loop, "stand-in");
    thread.setDaemon(true);
    thread.start();
    server = CompletableFuture.supplyAsync(() -> StandIn.createServer(loop, settings), loop).get();
    loop.submit(() -> server.listen()).get();
  }

  HttpResponse<String> call(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return client.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
  }

  InputStream open(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest request = request(method, path, body, headers);
    return client.send(request, HttpResponse.BodyHandlers.ofInputStream()).body();
  }

  JsonNode json(String method, String path, String body) throws Exception {
    return JsonHttp.MAPPER.readTree(call(method, path, body).body());
  }

  void faults(String json) throws Exception {
    if (call("POST", "/faults", json).statusCode() != 200) {
      throw new IOException("faults were not accepted: " + json);
    }
  }

  /** Returns the status, or -1 if the connection was closed without a response. */
  int status(String method, String path, String body, String... headers) throws Exception {
    try {
      return call(method, path, body, headers).statusCode();
    } catch (IOException e) {
      return -1;
    }
  }

  private HttpRequest request(String method, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(base + path)).timeout(Duration.ofSeconds(10));
    builder.method(
        method, HttpRequest.BodyPublishers.ofByteArray(body.getBytes(StandardCharsets.UTF_8)));
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return builder.build();
  }

  @Override
  public void close() {
    loop.execute(
        () -> {
          server.close();
          loop.keepAlive(false);
        });
  }
}
