package org.hibiscusreel.bench.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.testsupport.ClientCrowd;
import org.hibiscusreel.testsupport.ClientForm;
import org.hibiscusreel.testsupport.ProcessWatch;
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
    play(false, HEADS, ClientForm.HEAD_OVER_LIMIT);
  }

  @Test
  void survivesHeadsCutShort() throws Exception {
    play(false, HEADS, ClientForm.HEAD_CUT_SHORT);
  }

  @Test
  void survivesFieldWithoutEnd() throws Exception {
    play(false, HEADS, ClientForm.FIELD_WITHOUT_END);
  }

  @Test
  void survivesEmptyLinesWithoutEnd() throws Exception {
    play(false, ENDLESS, ClientForm.EMPTY_LINES_WITHOUT_END);
  }

  @Test
  void survivesRequestLinesAlone() throws Exception {
    play(false, CONNECTIONS, ClientForm.REQUEST_LINE_ONLY);
  }

  @Test
  void survivesBodies() throws Exception {
    play(false, BODIES, ClientForm.BODY);
  }

  @Test
  void survivesBodiesCutShort() throws Exception {
    play(false, BODIES, ClientForm.BODY_CUT_SHORT);
  }

  @Test
  void survivesLargeChunksCutShort() throws Exception {
    play(false, BODIES, ClientForm.LARGE_CHUNKS_CUT_SHORT);
  }

  @Test
  void survivesSmallChunksCutShort() throws Exception {
    play(false, BODIES, ClientForm.SMALL_CHUNKS_CUT_SHORT);
  }

  @Test
  void survivesAllFormsTogether() throws Exception {
    play(false, ClientForm.values().length * OF_EACH_FORM);
  }

  @Test
  void survivesAllFormsTogetherAtAdminPort() throws Exception {
    play(true, ClientForm.values().length * OF_EACH_FORM);
  }

  private void play(boolean isAdmin, int clients, ClientForm form) throws Exception {
    play(isAdmin, clients, i -> form);
  }

  private void play(boolean isAdmin, int clients) throws Exception {
    List<ClientForm> forms = List.of(ClientForm.values());
    play(isAdmin, clients, i -> forms.get(i % forms.size()));
  }

  private void play(boolean isAdmin, int clients, IntFunction<ClientForm> form) throws Exception {
    ProcessTopology topology = new ProcessTopology(folder, List.of("cr-a"), 1, 64, MAX_CONNECTIONS);
    try (ChildProcesses processes = new ChildProcesses(folder)) {
      new Fleet(ROOT, processes, topology, SMALL_HEAP).start(BUDGET_TOKENS, List.of());
      Map.Entry<String, String> caller = topology.callerAddresses.entrySet().iterator().next();
      String host = caller.getKey();
      String target = isAdmin ? topology.adminAddresses.get(host) : caller.getValue();
      Process daemon = processes.get(host);
      ProcessWatch watch = new ProcessWatch(daemon.pid());
      try (ClientCrowd crowd =
          new ClientCrowd(
              toSocketAddress(target),
              clients,
              MAX_BODY_BYTES,
              i -> new ClientCrowd.Client(form.apply(i), head(i)))) {
        crowd.awaitSent(SENDING_MILLIS);
        crowd.awaitEnd(OPEN_MILLIS);
        assertThat(daemon.isAlive()).as("the daemon lives").isTrue();
        assertThat(sendWithRetries(caller.getValue()))
            .hasValueSatisfying(o -> assertThat(o).isInstanceOf(Outcome.Whole.class));
      }
      assertThat(daemon.isAlive()).as("the daemon lives").isTrue();
      watch.close();
      assertThat(watch.peakMemoryBytes() / BYTES_PER_MEGABYTE)
          .as("peak memory in megabytes")
          .isBetween(1L, (long) MEMORY_MEGABYTES);
      assertThat(watch.peakDescriptors()).as("peak of descriptors").isBetween(1, MAX_DESCRIPTORS);
    }
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
