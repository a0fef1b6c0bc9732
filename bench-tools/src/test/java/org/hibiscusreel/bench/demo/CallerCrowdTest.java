package org.hibiscusreel.bench.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import javax.net.SocketFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.testsupport.ClientCrowd;
import org.hibiscusreel.testsupport.ClientForm;
import org.hibiscusreel.testsupport.ProcessWatch;
import org.hibiscusreel.testsupport.TestCertificates;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a daemon with the product's own interface that clients outside its control end,
 * make hang or keep from answering others. Each test starts a daemon as it is shipped, with a
 * smaller heap and fewer connections, and a crowd of clients whose connections stay open.
 */
@Tag("crowd")
class CallerCrowdTest {

  private static final String ROOT = Path.of("..").toAbsolutePath().normalize().toString();
  private static final String SMALL_HEAP = "-Xms64m -Xmx64m -Xmn16m";

  /** Memory of the smallest host on which daemons are deployed, in megabytes. */
  private static final int MEMORY_MEGABYTES = 258;

  private static final int MAX_CONNECTIONS = 400;
  private static final int MAX_DESCRIPTORS = 600;
  private static final int MAX_BODY_BYTES = 1_048_576;
  private static final int BYTES_PER_MEGABYTE = 1024 * 1024;
  private static final int HEADS = 400;
  private static final int ENDLESS = 60;
  private static final int BODIES = 120;
  private static final int CONNECTIONS = 1_000;
  private static final int LONG_HEADS = 90;
  private static final int LONG_FIELDS = 50;
  private static final int LONG_FIELD_BYTES = 60_000;
  private static final int READ_TIMEOUT_MILLIS = 15_000;

  /** Ports of a daemon; the one of callers has TLS or not. */
  private enum Port {
    CALLERS,
    TLS,
    ADMIN
  }

  /** Clients of each form in a crowd of all forms. */
  private static final int OF_EACH_FORM = 20;

  /** Longest wait until all clients have sent their bytes once. */
  private static final long SENDING_MILLIS = 30_000;

  /** Longest time for which they go on, or keep their connections open, before the request. */
  private static final long OPEN_MILLIS = 4_000;

  private static final int RETRIES = 4;
  private static final long RETRY_MILLIS = 500;
  private static final long BUDGET_TOKENS = 5_000_000;

  @TempDir private Path folder;

  @Test
  void survivesHeadsOverLimit() throws Exception {
    play(Port.CALLERS, HEADS, ClientForm.HEAD_OVER_LIMIT);
  }

  @Test
  void survivesHeadsCutShort() throws Exception {
    play(Port.CALLERS, HEADS, ClientForm.HEAD_CUT_SHORT);
  }

  @Test
  void survivesFieldWithoutEnd() throws Exception {
    play(Port.CALLERS, HEADS, ClientForm.FIELD_WITHOUT_END);
  }

  @Test
  void survivesEmptyLinesWithoutEnd() throws Exception {
    play(Port.CALLERS, ENDLESS, ClientForm.EMPTY_LINES_WITHOUT_END);
  }

  @Test
  void survivesRequestLinesAlone() throws Exception {
    play(Port.CALLERS, CONNECTIONS, ClientForm.REQUEST_LINE_ONLY);
  }

  @Test
  void survivesBodies() throws Exception {
    play(Port.CALLERS, BODIES, ClientForm.BODY);
  }

  @Test
  void survivesBodiesCutShort() throws Exception {
    play(Port.CALLERS, BODIES, ClientForm.BODY_CUT_SHORT);
  }

  @Test
  void survivesLargeChunksCutShort() throws Exception {
    play(Port.CALLERS, BODIES, ClientForm.LARGE_CHUNKS_CUT_SHORT);
  }

  @Test
  void survivesSmallChunksCutShort() throws Exception {
    play(Port.CALLERS, BODIES, ClientForm.SMALL_CHUNKS_CUT_SHORT);
  }

  @Test
  void survivesAllFormsTogether() throws Exception {
    play(Port.CALLERS, ClientForm.values().length * OF_EACH_FORM);
  }

  @Test
  void survivesAllFormsTogetherAtAdminPort() throws Exception {
    play(Port.ADMIN, ClientForm.values().length * OF_EACH_FORM);
  }

  @Test
  void survivesLongFieldsCutShortAtAdminPort() throws Exception {
    playLongFields(Port.ADMIN);
  }

  @Test
  void survivesHeadsCutShortOverTls() throws Exception {
    play(Port.TLS, HEADS, ClientForm.HEAD_CUT_SHORT);
  }

  @Test
  void survivesLongFieldsCutShortOverTls() throws Exception {
    playLongFields(Port.TLS);
  }

  @Test
  void survivesBodiesCutShortOverTls() throws Exception {
    play(Port.TLS, BODIES, ClientForm.BODY_CUT_SHORT);
  }

  @Test
  void survivesAllFormsTogetherOverTls() throws Exception {
    play(Port.TLS, ClientForm.values().length * OF_EACH_FORM);
  }

  /** Each head has as many fields as the HTTP library reads, each nearly as long as it reads. */
  private void playLongFields(Port port) throws Exception {
    String fields = ("Own: " + "x".repeat(LONG_FIELD_BYTES) + "\r\n").repeat(LONG_FIELDS);
    play(
        port, LONG_HEADS, i -> new ClientCrowd.Client(ClientForm.HEAD_CUT_SHORT, head(i) + fields));
  }

  private void play(Port port, int clients, ClientForm form) throws Exception {
    play(port, clients, i -> new ClientCrowd.Client(form, head(i)));
  }

  private void play(Port port, int clients) throws Exception {
    List<ClientForm> forms = List.of(ClientForm.values());
    play(port, clients, i -> new ClientCrowd.Client(forms.get(i % forms.size()), head(i)));
  }

  private void play(Port port, int clients, IntFunction<ClientCrowd.Client> client)
      throws Exception {
    ProcessTopology topology = new ProcessTopology(folder, List.of("cr-a"), 1, 64, MAX_CONNECTIONS);
    if (port == Port.TLS) {
      TestCertificates t = TestCertificates.create(folder, "callers");
      topology.useTls(t.certificate(), t.key());
    }
    SocketFactory sockets =
        port == Port.TLS ? trustAll().getSocketFactory() : SocketFactory.getDefault();
    try (ChildProcesses processes = new ChildProcesses(folder)) {
      new Fleet(ROOT, processes, topology, SMALL_HEAP).start(BUDGET_TOKENS, List.of());
      Map.Entry<String, String> caller = topology.callerAddresses.entrySet().iterator().next();
      String host = caller.getKey();
      String target = port == Port.ADMIN ? topology.adminAddresses.get(host) : caller.getValue();
      Process daemon = processes.get(host);
      ProcessWatch watch = new ProcessWatch(daemon.pid());
      try (ClientCrowd crowd =
          new ClientCrowd(sockets, toSocketAddress(target), clients, MAX_BODY_BYTES, client)) {
        crowd.awaitSent(SENDING_MILLIS);
        crowd.awaitEnd(OPEN_MILLIS);
        assertThat(daemon.isAlive()).as("the daemon lives").isTrue();
        if (port == Port.TLS) {
          assertThat(exchangeWithRetries(sockets, caller.getValue())).startsWith("HTTP/1.1 200");
        } else {
          assertThat(sendWithRetries(caller.getValue()))
              .hasValueSatisfying(o -> assertThat(o).isInstanceOf(Outcome.Whole.class));
        }
      }
      assertThat(daemon.isAlive()).as("the daemon lives").isTrue();
      watch.close();
      assertThat(watch.peakMemoryBytes() / BYTES_PER_MEGABYTE)
          .as("peak memory in megabytes")
          .isBetween(1L, (long) MEMORY_MEGABYTES);
      assertThat(watch.peakDescriptors()).as("peak of descriptors").isBetween(1, MAX_DESCRIPTORS);
    }
  }

  /** Returns a context that accepts the certificate of the test, whose name is not checked. */
  private static SSLContext trustAll() throws GeneralSecurityException {
    X509TrustManager any =
        new X509TrustManager() {
          @Override
          public void checkClientTrusted(X509Certificate[] chain, String type) {}

          @Override
          public void checkServerTrusted(X509Certificate[] chain, String type) {}

          @Override
          public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
          }
        };
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, new TrustManager[] {any}, null);
    return context;
  }

  /** Sends an ordinary request over TLS again while it is refused or its connection is closed. */
  private static String exchangeWithRetries(SocketFactory sockets, String address)
      throws InterruptedException {
    String answer = "";
    for (int i = 0; i <= RETRIES && !answer.startsWith("HTTP/1.1 200"); i++) {
      TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : RETRY_MILLIS);
      try (Socket s = sockets.createSocket()) {
        s.connect(toSocketAddress(address));
        s.setSoTimeout(READ_TIMEOUT_MILLIS);
        String head = head(i).replace("crowd-", "ordinary-") + "Connection: close\r\n";
        ClientForm.BODY.send(s.getOutputStream(), head, 1);
        byte[] received = s.getInputStream().readAllBytes();
        answer = new String(received, StandardCharsets.ISO_8859_1);
      } catch (IOException e) {
        answer = e.toString();
      }
    }
    return answer;
  }

  private static InetSocketAddress toSocketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Sends an ordinary request again while it is refused or its connection is closed. */
  private static Optional<Outcome> sendWithRetries(String address) throws InterruptedException {
    DemoClient client = new DemoClient();
    Optional<Outcome> outcome = Optional.empty();
    for (int i = 0; i <= RETRIES && !(outcome.orElse(null) instanceof Outcome.Whole); i++) {
      TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : RETRY_MILLIS);
      outcome = client.send(address, DemoCall.of(i, 63));
    }
    return outcome;
  }

  /** Returns the request line and fields of a client with the key of one of the accounts. */
  private static String head(int number) {
    String account = ProcessTopology.ACCOUNTS.get(number % ProcessTopology.ACCOUNTS.size());
    return "POST /v1/services/release-records/look-up HTTP/1.1\r\nHost: h\r\n"
        + "Content-Type: text/plain\r\nIdempotency-Key: crowd-"
        + number
        + "\r\nAuthorization: Bearer "
        + ProcessTopology.clientKey(account)
        + "\r\n";
  }
}
