package org.hibiscusreel.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hibiscusreel.coordination.forward.HolderCopy;
import org.hibiscusreel.core.crash.Block;
import org.hibiscusreel.core.crash.CrashReport;
import org.hibiscusreel.core.forward.BrittleUpstreams;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamLimits;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.hibiscusreel.daemon.platform.JsonBodies;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UdpLoadTransportTest {

  private static final LoadReport REPORT =
      new LoadReport(
          "a.1",
          7,
          12,
          List.of(new LoadReport.Entry("u", 2, 900)),
          List.of(),
          List.of(),
          Optional.empty());

  private final TestLoop loop = new TestLoop();
  private final InetSocketAddress second = freeAddress();
  private final UdpLoadTransport sender =
      new UdpLoadTransport(
          loop.eventloop(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final UdpLoadTransport receiver = new UdpLoadTransport(loop.eventloop(), second);
  private final BlockingQueue<LoadReport> received = new LinkedBlockingQueue<>();

  private static InetSocketAddress freeAddress() {
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(s.getLocalAddress(), s.getLocalPort());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void start() {
    loop.run(
        () -> {
          try {
            // The port was free a moment ago; the sender must not get it.
            receiver.start();
            sender.start();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
    loop.run(() -> receiver.receive(received::add));
  }

  @AfterEach
  void stop() {
    loop.run(
        () -> {
          sender.stop();
          receiver.stop();
        });
    loop.close();
  }

  private LoadReport next() throws InterruptedException {
    return received.poll(5, TimeUnit.SECONDS);
  }

  @Test
  void carriesReports() throws InterruptedException {
    start();
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), REPORT));
    assertThat(next()).isEqualTo(REPORT);
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }

  @Test
  void carriesLimitsOfUpstreams() throws InterruptedException {
    start();
    LoadReport report =
        new LoadReport(
            "a.1",
            8,
            12,
            List.of(new LoadReport.Entry("u", 2, 900)),
            List.of(
                new UpstreamLimits.Report("u", OptionalDouble.of(1.8), 120, 57),
                new UpstreamLimits.Report("v", OptionalDouble.empty(), 40, 3)),
            List.of(),
            Optional.empty());
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), report));
    assertThat(next()).isEqualTo(report);
  }

  /** Guards against a copy of a row that other daemons can't read when its host has ended. */
  @Test
  void carriesRowsOfHosts() throws InterruptedException {
    start();
    BlockingQueue<HolderCopy> rows = new LinkedBlockingQueue<>();
    loop.run(() -> receiver.receiveHolders(rows::add));
    List<HolderCopy> sent =
        List.of(
            new HolderCopy("acme", "h", 2, 17, "{\"drawn\":5}"),
            new HolderCopy("b", "h", 2, 18, "x"));
    loop.run(() -> sender.sendHolders(List.of("127.0.0.1:" + second.getPort()), sent));
    assertThat(rows.poll(5, TimeUnit.SECONDS)).isEqualTo(sent.get(0));
    assertThat(rows.poll(5, TimeUnit.SECONDS)).isEqualTo(sent.get(1));
  }

  private void sendRaw(String text) throws IOException {
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      s.send(new DatagramPacket(bytes, bytes.length, second));
    }
  }

  /**
   * Guards against a report of streams that daemons of the release before take for something else,
   * which read the field {@code holders} of each object that has it, and against a field of a later
   * release that makes a report unreadable.
   */
  @Test
  void carriesStreamsInFormOfEarlierAndLaterReleases() throws Exception {
    start();
    BlockingQueue<StreamReport> reports = new LinkedBlockingQueue<>();
    BlockingQueue<HolderCopy> rows = new LinkedBlockingQueue<>();
    loop.run(() -> receiver.receiveStreams(reports::add));
    loop.run(() -> receiver.receiveHolders(rows::add));
    StreamReport sent =
        new StreamReport(
            List.of(
                new StreamReport.Streams(new StreamOrigin("s", "v1"), List.of("a", "b")),
                new StreamReport.Streams(new StreamOrigin("s", ""), List.of("c"))),
            List.of(new UpstreamEntry("u", "s", "127.0.0.1:1", "d", false, 4, "v1", 7)));
    loop.run(() -> sender.sendStreams(List.of("127.0.0.1:" + second.getPort()), sent));
    assertThat(reports.poll(5, TimeUnit.SECONDS)).isEqualTo(sent);
    JsonNode written = JsonBodies.MAPPER.readTree(StreamReportFormat.write(sent));
    assertThat(written.get("holders")).isEmpty();
    sendRaw(
        "{\"holders\":[],\"streams\":[[\"s\",\"v1\",\"a\",\"b\"],[\"s\",\"\",\"c\"]],"
            + "\"upstreams\":[[\"u\",\"s\",\"127.0.0.1:1\",\"d\",4,\"v1\",7,\"x\"]],\"later\":{}}");
    assertThat(reports.poll(5, TimeUnit.SECONDS)).isEqualTo(sent);
    assertThat(rows).isEmpty();
  }

  /** Guards against a notice that is lost because the report has no limits or no load. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void carriesLeavingUpstreams(boolean hasLimits) throws InterruptedException {
    start();
    LoadReport report =
        new LoadReport(
            "a.1",
            8,
            12,
            List.of(),
            hasLimits
                ? List.of(new UpstreamLimits.Report("u", OptionalDouble.of(1.8), 120, 57))
                : List.of(),
            List.of(new LeavingUpstream("u", "10.0.0.1:80", 1_790_000_000_000L)),
            Optional.empty());
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), report));
    assertThat(next()).isEqualTo(report);
  }

  /** Guards against versions that others never hear of, and against none taken for unknown. */
  @ParameterizedTest
  @CsvSource({"''", "v1", "'v1,v2'"})
  void carriesVersionsOfUpstreams(String software) throws InterruptedException {
    start();
    List<StreamOrigin> versions =
        software.isEmpty()
            ? List.of()
            : Arrays.stream(software.split(",")).map(v -> new StreamOrigin("s", v)).toList();
    LoadReport report =
        new LoadReport("a.1", 8, 12, List.of(), List.of(), List.of(), Optional.of(versions));
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), report));
    assertThat(next()).isEqualTo(report);
  }

  /** Guards against brittle upstreams that the others never hear of. */
  @ParameterizedTest
  @CsvSource({"true,3", "false,3", "true,", "false,"})
  void carriesBrittleUpstreams(boolean hasVersions, Integer tolerance) throws InterruptedException {
    start();
    OptionalInt perSecond = tolerance == null ? OptionalInt.empty() : OptionalInt.of(tolerance);
    LoadReport report =
        new LoadReport(
            "a.1",
            8,
            12,
            List.of(),
            List.of(),
            List.of(),
            hasVersions ? Optional.of(List.of(new StreamOrigin("s", "v"))) : Optional.empty(),
            List.of(
                new BrittleUpstreams.Report(
                    "u", "s", 1_790_000_000_000L, perSecond, 120, Integer.MAX_VALUE, 5)));
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), report));
    assertThat(next()).isEqualTo(report);
  }

  /** Guards against a rate below zero, or none, that another process reports. */
  @ParameterizedTest
  @ValueSource(strings = {"[[\"u\",-1,0,0]]", "[[\"u\"]]", "[[\"u\",1,0]]"})
  void ignoresReportsWithInvalidLimits(String limits) throws Exception {
    start();
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      byte[] bytes = ("[\"a.1\",1,1," + limits + "]").getBytes(StandardCharsets.UTF_8);
      s.send(new DatagramPacket(bytes, bytes.length, second));
    }
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }

  @Test
  void carriesCrashReportsBesideLoadReports() throws InterruptedException {
    start();
    BlockingQueue<CrashReport> crashes = new LinkedBlockingQueue<>();
    loop.run(() -> receiver.receiveCrashes(crashes::add));
    CrashReport report =
        new CrashReport("", List.of(), List.of(new Block(Map.of("part:a", 0L))), List.of());
    List<String> peers = List.of("127.0.0.1:" + second.getPort());
    loop.run(() -> sender.sendCrashes(peers, report));
    assertThat(crashes.poll(5, TimeUnit.SECONDS)).isEqualTo(report);
    loop.run(() -> sender.send(peers, REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }

  /** Guards against a transport that stops receiving after a datagram that is not a load report. */
  @Test
  void continuesAfterMalformedDatagrams() throws Exception {
    start();
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      byte[] garbage = {1, 2, 3};
      s.send(new DatagramPacket(garbage, garbage.length, second));
    }
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }

  /** Guards against reports that are no longer sent because one address is not usable. */
  @ParameterizedTest
  @ValueSource(
      strings = {"", "x", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:-1", "localhost:1", "[::1"})
  void sendsToTheOthersIfOneAddressIsUnusable(String address) throws Exception {
    start();
    loop.run(() -> sender.send(List.of(address, "127.0.0.1:" + second.getPort()), REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }

  /** Guards against a receiver that an exception of its listener ends. */
  @Test
  void receivesOnAfterFailureOfTheListener() throws Exception {
    start();
    loop.run(
        () ->
            receiver.receiveCrashes(
                r -> {
                  throw new IllegalStateException("the listener fails");
                }));
    List<String> peers = List.of("127.0.0.1:" + second.getPort());
    CrashReport report = new CrashReport("x", List.of(), List.of(), List.of());
    loop.run(() -> sender.sendCrashes(peers, report));
    loop.run(() -> sender.send(peers, REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }

  /**
   * Guards against numbers that are made up for malformed ones: a version that no daemon has makes
   * each daemon that hears of it refuse all requests.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "[\"a.1\",1,1e999]",
        "[\"a.1\",1,99999999999999999999]",
        "[\"a.1\",1,-1]",
        "[\"a.1\",1,\"12\"]",
        "[\"a.1\",1e999,12]",
        "[7,1,12]",
        "[\"a.1\",1,12,\"u\",-5,900]",
        "[\"a.1\",1,12,\"u\",4294967297,900]",
        "[\"a.1\",1,12,\"u\",1,1e18]",
        "[\"a.1\",1,12,{},1,1]",
        "[\"a.1\",1,12,[[\"u\",\"1\",0,0]]]",
        "[\"a.1\",1,12,[[\"u\",1,1e999,0]]]",
        "[\"a.1\",1,12,[7]]",
        "[]",
        "7",
        "null",
        "\"x\"",
        ""
      })
  void ignoresReportsWithMalformedFields(String text) throws Exception {
    start();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    byte[] nested = "[".repeat(60_000).getBytes(StandardCharsets.UTF_8);
    try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      s.send(new DatagramPacket(bytes, bytes.length, second));
      s.send(new DatagramPacket(nested, nested.length, second));
    }
    loop.run(() -> sender.send(List.of("127.0.0.1:" + second.getPort()), REPORT));
    assertThat(next()).isEqualTo(REPORT);
  }
}
