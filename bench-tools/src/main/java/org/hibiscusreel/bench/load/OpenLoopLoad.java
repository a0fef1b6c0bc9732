package org.hibiscusreel.bench.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.dns.DnsClient;
import io.activej.dns.IDnsClient;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.reactor.nio.NioReactor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.bench.demo.ProcessTopology;

/**
 * Open-loop load generator: sends streamed requests at random times, regardless of whether earlier
 * requests have completed. The time to the first token is measured from the scheduled time, so that
 * a stall of the generator or of the target is included.
 */
final class OpenLoopLoad {

  private static final byte[] CONTENT_MARKER = "\"content\":\"".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE_MARKER = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

  private final ObjectMapper mapper = new ObjectMapper();
  private final NioReactor reactor;
  private final HttpClient client;
  private final List<String> targets;
  private final String run;
  private final int maxTokens;
  private final LoadStatistics statistics = new LoadStatistics();
  private final CompletableFuture<LoadStatistics> done = new CompletableFuture<>();
  private final Random random;
  private int sent;
  private int open;
  private boolean isSchedulingDone;

  /**
   * Creates a load generator.
   *
   * @param reactor event loop on which all methods must be called
   * @param targets IP addresses and ports, used in turn
   * @param run text that makes idempotency keys unique
   * @param maxTokens token limit of each request
   * @param seed seed of the request times
   */
  OpenLoopLoad(NioReactor reactor, List<String> targets, String run, int maxTokens, long seed) {
    this.reactor = reactor;
    this.targets = targets;
    this.run = run;
    this.maxTokens = maxTokens;
    this.random = new Random(seed);
    InetSocketAddress unused = new InetSocketAddress(InetAddress.getLoopbackAddress(), 53);
    IDnsClient dns = DnsClient.builder(reactor, unused).build();
    this.client =
        HttpClient.builder(reactor, dns)
            .withKeepAliveTimeout(Duration.ofSeconds(30))
            .withReadWriteTimeout(Duration.ZERO)
            .build();
  }

  /** Sends requests at a rate, in requests per second, for a duration in seconds. */
  void run(double perSecond, double seconds) {
    long startNanos = System.nanoTime();
    scheduleNext(startNanos, startNanos + (long) (seconds * 1e9), perSecond);
  }

  /** Returns a future that completes with the results once all requests have ended. */
  CompletableFuture<LoadStatistics> done() {
    return done;
  }

  private void scheduleNext(long dueNanos, long endNanos, double perSecond) {
    if (dueNanos >= endNanos) {
      isSchedulingDone = true;
      finishIfIdle();
      return;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(dueNanos - System.nanoTime());
    Runnable send =
        () -> {
          send(dueNanos);
          long intervalNanos = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
          scheduleNext(dueNanos + intervalNanos, endNanos, perSecond);
        };
    if (millis <= 0) {
      reactor.post(send);
    } else {
      reactor.delay(millis, send);
    }
  }

  /** Sends one request that was scheduled for a time of {@link System#nanoTime()}. */
  void send(long dueNanos) {
    int number = sent++;
    open++;
    statistics.recordRequest();
    String target = targets.get(number % targets.size());
    String account = ProcessTopology.ACCOUNTS.get(number % ProcessTopology.ACCOUNTS.size());
    HttpRequest request =
        HttpRequest.post("http://" + target + "/v1/chat/completions")
            .withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + ProcessTopology.clientKey(account))
            .withHeader(HttpHeaders.of("Idempotency-Key"), run + "-" + number)
            .withHeader(HttpHeaders.of("X-Stream-Id"), run + "." + number)
            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
            .withBody(body(number))
            .build();
    client.request(request).whenComplete((response, e) -> receive(response, e, dueNanos));
  }

  private byte[] body(int number) {
    ObjectNode json = mapper.createObjectNode().put("model", ProcessTopology.MODEL);
    json.put("stream", true).put("max_tokens", maxTokens);
    String prompt = "Summarize the release record of batch " + number;
    json.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return json.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void receive(HttpResponse response, Exception e, long dueNanos) {
    if (e != null) {
      endRequest(e.getClass().getSimpleName());
    } else if (response.getCode() != 200) {
      endRequest("status " + response.getCode());
    } else {
      new StreamReader(response.takeBodyStream(), dueNanos).read();
    }
  }

  private void endRequest(String error) {
    if (error.isEmpty()) {
      statistics.recordCompleteResponse();
    } else {
      statistics.recordError(error);
    }
    open--;
    finishIfIdle();
  }

  private void finishIfIdle() {
    if (isSchedulingDone && open == 0) {
      done.complete(statistics);
    }
  }

  /** Records the tokens of one stream. */
  private final class StreamReader {

    private final ChannelSupplier<ByteBuf> body;
    private long previousNanos;
    private boolean isFirst = true;
    private int contentMatch;
    private int doneMatch;
    private boolean isDone;

    StreamReader(ChannelSupplier<ByteBuf> body, long dueNanos) {
      this.body = body;
      this.previousNanos = dueNanos;
    }

    void read() {
      body.get()
          .whenComplete(
              (buf, e) -> {
                if (e != null) {
                  endRequest(e.getClass().getSimpleName());
                } else if (buf == null) {
                  endRequest(isDone ? "" : "no end marker");
                } else {
                  scan(buf);
                  buf.recycle();
                  read();
                }
              });
    }

    private void scan(ByteBuf buf) {
      long nowNanos = System.nanoTime();
      byte[] bytes = buf.array();
      for (int i = buf.head(); i < buf.tail(); i++) {
        contentMatch = advanceMatch(CONTENT_MARKER, contentMatch, bytes[i]);
        doneMatch = advanceMatch(DONE_MARKER, doneMatch, bytes[i]);
        if (contentMatch == CONTENT_MARKER.length) {
          contentMatch = 0;
          statistics.recordToken(
              isFirst ? statistics.firstToken : statistics.betweenTokens, micros(nowNanos));
          isFirst = false;
          previousNanos = nowNanos;
        }
        if (doneMatch == DONE_MARKER.length) {
          doneMatch = 0;
          isDone = true;
        }
      }
    }

    private long micros(long nowNanos) {
      return TimeUnit.NANOSECONDS.toMicros(nowNanos - previousNanos);
    }

    private static int advanceMatch(byte[] pattern, int match, byte next) {
      if (pattern[match] == next) {
        return match + 1;
      }
      return pattern[0] == next ? 1 : 0;
    }
  }
}
