package org.hibiscusreel.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscusreel.coordination.port.PlainServiceClient.Call;
import org.hibiscusreel.coordination.port.PlainServiceClient.Result;
import org.hibiscusreel.core.config.Upstream;
import org.hibiscusreel.core.config.UpstreamKind;
import org.hibiscusreel.daemon.http.AsyncHttpClient;
import org.hibiscusreel.daemon.loop.RawServer;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpPlainServiceClientTest {

  private final TestLoop loop = new TestLoop();

  @AfterEach
  void stop() {
    loop.close();
  }

  /** Guards against reporting a call as not sent although it ran. */
  @ParameterizedTest
  @CsvSource({
    "200 OK, Responded",
    "500 Internal Server Error, Responded",
    "503 Service Unavailable, Responded",
    "429 Too Many Requests, NotSent",
  })
  void mapsTheStatus(String status, String outcome) throws Exception {
    try (RawServer s = new RawServer(RawServer.respond(status, "{}"))) {
      assertThat(call(s).getClass().getSimpleName()).isEqualTo(outcome);
    }
  }

  /** Guards against a call without an outcome, because its response is too large to be read. */
  @Test
  void reportsTooLargeResponseAsUnknown() throws Exception {
    try (RawServer s = new RawServer(RawServer.respondWithoutLength(17 * 1024 * 1024))) {
      assertThat(call(s)).isInstanceOf(Result.Unknown.class);
    }
  }

  private Result call(RawServer server) {
    Upstream u =
        new Upstream(
            "svc",
            UpstreamKind.SERVICE,
            server.address(),
            "a",
            "site",
            List.of("records"),
            1,
            false,
            false);
    HttpPlainServiceClient client =
        loop.get(() -> new HttpPlainServiceClient(new AsyncHttpClient(loop.eventloop())));
    Call call = new Call("sign", "key", "application/json", new byte[0], 5_000);
    return loop.await(() -> client.call(u, call));
  }
}
