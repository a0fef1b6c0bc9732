package org.hibiscusreel.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.hibiscusreel.daemon.metrics.DaemonMetrics;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.hibiscusreel.testsupport.TestCertificates;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CallerTlsTest {

  private static final String CHAT =
      "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  private static SSLContext trusting(Path certificate) throws Exception {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (InputStream in = Files.newInputStream(certificate)) {
      store.setCertificateEntry(
          "a", CertificateFactory.getInstance("X.509").generateCertificate(in));
    }
    TrustManagerFactory f =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    f.init(store);
    SSLContext c = SSLContext.getInstance("TLS");
    c.init(null, f.getTrustManagers(), null);
    return c;
  }

  /** Guards against disconnect detection that consumes bytes of a TLS connection. */
  @Test
  void servesSeveralRequestsOverOneConnection(@TempDir Path directory) throws Exception {
    final TestCertificates t = TestCertificates.create(directory, "callers");
    FakeRequestService requests = new FakeRequestService();
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    DaemonSettings settings =
        new DaemonSettings(
            null,
            new DaemonSettings.Listen(any, any, any),
            null,
            null,
            new DaemonSettings.Limits(1000, 1, 10, 1),
            null,
            null);
    SSLContext context =
        CallerTls.createContext(new DaemonSettings.CallerTls(t.certificate(), t.key()));
    ExecutorService threads = Executors.newSingleThreadExecutor();
    try (TestLoop loop = new TestLoop()) {
      CallerServer server =
          loop.get(
              () ->
                  new CallerServer(
                      loop.eventloop(),
                      new EventLoopScheduler(loop.eventloop()),
                      settings,
                      Optional.of(new CallerServer.Tls(context, threads)),
                      requests,
                      requests,
                      new DaemonMetrics()));
      loop.eventloop().submit(server::start).get();
      HttpClient client = HttpClient.newBuilder().sslContext(trusting(t.certificate())).build();
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("https://127.0.0.1:" + server.port() + "/v1/chat/completions"))
              .header("Authorization", "Bearer " + FakeRequestService.KEY)
              .POST(HttpRequest.BodyPublishers.ofString(CHAT))
              .build();

      for (int i = 0; i < 3; i++) {
        HttpResponse<String> r = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.body()).contains("hello");
      }
      assertThat(requests.signals).isEmpty();
    } finally {
      threads.shutdown();
    }
  }
}
