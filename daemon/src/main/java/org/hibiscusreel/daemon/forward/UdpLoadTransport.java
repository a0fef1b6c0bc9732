package org.hibiscusreel.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.udp.UdpPacket;
import io.activej.net.socket.udp.UdpSocket;
import io.activej.reactor.net.DatagramSocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.hibiscusreel.coordination.forward.CrashTransport;
import org.hibiscusreel.coordination.forward.HolderCopy;
import org.hibiscusreel.coordination.forward.HolderTransport;
import org.hibiscusreel.coordination.forward.LoadTransport;
import org.hibiscusreel.coordination.forward.StreamTransport;
import org.hibiscusreel.core.config.SocketAddresses;
import org.hibiscusreel.core.crash.CrashReport;
import org.hibiscusreel.core.forward.BrittleUpstreams;
import org.hibiscusreel.core.forward.LeavingUpstream;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.core.forward.RejectionTolerance;
import org.hibiscusreel.core.forward.RequestLimit;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.StreamReport;
import org.hibiscusreel.core.forward.UpstreamLimits;
import org.hibiscusreel.daemon.platform.JsonBodies;

/**
 * Exchanges load reports, crash reports, copies of rows and reports of streams as JSON datagrams; a
 * load report is an array, a crash report an object, and the others are objects with the field
 * {@code holders}, which for reports of streams is an empty array. A load report is outdated in
 * less than a second, so retransmission over a connection would only delay the next report. Used
 * only on the thread of the event loop.
 */
public final class UdpLoadTransport
    implements LoadTransport, CrashTransport, HolderTransport, StreamTransport {

  /**
   * Size limit of a report. A larger datagram would be fragmented into many packets, and the loss
   * of any of them loses the report.
   */
  static final int MAX_REPORT_BYTES = 8_000;

  /** Largest number of requests in an entry; the sum over all daemons fits into an int. */
  private static final int MAX_REQUESTS = 1_000_000;

  /** Largest other number in an entry; the sum over all daemons fits into a long. */
  private static final long MAX_NUMBER = 1_000_000_000_000_000L;

  /** Number of addresses that are kept; there are fewer daemons. */
  private static final int MAX_ADDRESSES = 2_000;

  private static final int HEADER_FIELDS = 3;
  private static final int FIELDS_PER_ENTRY = 3;
  private static final int FIELDS_PER_LIMIT = 4;
  private static final int FIELDS_PER_LEAVING = 3;

  private static final int FIELDS_PER_VERSION = 2;

  private static final int FIELDS_PER_BRITTLE = 7;

  /**
   * Number of arrays at the end of a report: the limits, the leaving upstreams, the versions, the
   * brittle upstreams.
   */
  private static final int MAX_ARRAYS = 4;

  static final String HOLDERS = "holders";

  private static final int FIELDS_PER_HOLDER = 5;

  private static final Logger LOG = System.getLogger(UdpLoadTransport.class.getName());

  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final NioReactor reactor;
  private final InetSocketAddress address;
  private UdpSocket socket;
  private Consumer<LoadReport> loadReceiver = r -> {};
  private Consumer<CrashReport> crashReceiver = r -> {};
  private Consumer<HolderCopy> holderReceiver = c -> {};
  private Consumer<StreamReport> streamReceiver = r -> {};
  private boolean isReceiving;
  private boolean failureLogged;

  /**
   * Creates a transport whose socket is not open yet.
   *
   * @param reactor the event loop
   * @param address address to receive reports at
   * @throws NullPointerException if an argument is null
   */
  public UdpLoadTransport(NioReactor reactor, InetSocketAddress address) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
    this.address = Objects.requireNonNull(address, "address");
  }

  /**
   * Opens the socket.
   *
   * @throws IOException if the address can't be bound
   */
  public void start() throws IOException {
    DatagramChannel channel = DatagramChannel.open();
    DatagramSocketSettings.create().applySettings(channel);
    channel.configureBlocking(false);
    channel.bind(address);
    UdpSocket.connect(reactor, channel)
        .whenResult(s -> socket = s)
        .whenException(e -> logFailure("cannot open the UDP socket for load reports", e));
  }

  /** Closes the socket. */
  public void stop() {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }

  @Override
  public void send(List<String> peers, LoadReport report) {
    sendBytes(peers, write(report));
  }

  @Override
  public void sendCrashes(List<String> peers, CrashReport report) {
    sendBytes(peers, CrashReportFormat.write(report));
  }

  @Override
  public void sendHolders(List<String> peers, List<HolderCopy> copies) {
    ObjectNode root = JsonBodies.MAPPER.createObjectNode();
    ArrayNode holders = root.putArray(HOLDERS);
    for (HolderCopy c : copies) {
      holders.addArray().add(c.account()).add(c.host()).add(c.era()).add(c.version()).add(c.row());
    }
    sendBytes(peers, JsonBodies.write(root));
  }

  @Override
  public void sendStreams(List<String> peers, StreamReport report) {
    sendBytes(peers, StreamReportFormat.write(report));
  }

  private static List<HolderCopy> readHolders(JsonNode holders) throws IOException {
    List<HolderCopy> copies = new ArrayList<>();
    for (JsonNode h : holders) {
      if (h.size() < FIELDS_PER_HOLDER) {
        throw new IOException("a copy of a row is incomplete");
      }
      copies.add(
          new HolderCopy(
              JsonBodies.text(h.get(0)),
              JsonBodies.text(h.get(1)),
              JsonBodies.wholeNumber(h.get(2), Long.MAX_VALUE),
              JsonBodies.wholeNumber(h.get(3), Long.MAX_VALUE),
              JsonBodies.text(h.get(4))));
    }
    return copies;
  }

  private void sendBytes(List<String> peers, byte[] bytes) {
    if (bytes.length > MAX_REPORT_BYTES) {
      logFailure("a report is too large to send", new IOException(bytes.length + " bytes"));
      return;
    }
    if (socket == null) {
      return;
    }
    for (String peer : peers) {
      toAddress(peer).ifPresent(address -> sendBytes(address, bytes));
    }
  }

  private void sendBytes(InetSocketAddress receiver, byte[] bytes) {
    socket
        .send(UdpPacket.of(ByteBuf.wrapForReading(bytes), receiver))
        .whenException(e -> logFailure("cannot send a report to " + receiver, e));
  }

  /**
   * Writes {@code [sender, sequence, configuration version, upstream, requests, pending prefill
   * tokens, upstream, ...]}. Up to four arrays may follow, each with those before it: {@code
   * [upstream, limit or null, age, sent requests]} of upstreams that have named limits, {@code
   * [upstream, address, start]} of upstreams that are leaving, {@code [service, version]} of
   * versions that the sender has seen, or null instead if it does not tell, and {@code [upstream,
   * service, start, tolerance or null, age, bound, rejections]} of brittle upstreams.
   */
  private static byte[] write(LoadReport report) {
    ArrayNode fields = JsonBodies.MAPPER.createArrayNode();
    fields.add(report.sender()).add(report.sequence()).add(report.configurationVersion());
    for (LoadReport.Entry entry : report.entries()) {
      fields.add(entry.upstream()).add(entry.requests()).add(entry.pendingPrefillTokens());
    }
    boolean hasBrittle = !report.brittle().isEmpty();
    boolean hasVersions = hasBrittle || report.versions().isPresent();
    boolean hasLeaving = hasVersions || !report.leaving().isEmpty();
    if (hasLeaving || !report.limits().isEmpty()) {
      ArrayNode limits = fields.addArray();
      for (UpstreamLimits.Report r : report.limits()) {
        ArrayNode limit = limits.addArray().add(r.upstream());
        r.perSecond().ifPresentOrElse(limit::add, limit::addNull);
        limit.add(r.ageMillis()).add(r.sent());
      }
    }
    if (hasLeaving) {
      ArrayNode leaving = fields.addArray();
      for (LeavingUpstream l : report.leaving()) {
        leaving.addArray().add(l.id()).add(l.address()).add(l.startedAtMillis());
      }
    }
    if (hasVersions) {
      ArrayNode versions = fields.addArray();
      if (report.versions().isEmpty()) {
        versions.addNull();
      }
      for (StreamOrigin v : report.versions().orElse(List.of())) {
        versions.addArray().add(v.service()).add(v.softwareVersion());
      }
    }
    if (hasBrittle) {
      ArrayNode brittle = fields.addArray();
      for (BrittleUpstreams.Report r : report.brittle()) {
        ArrayNode b = brittle.addArray().add(r.upstream()).add(r.service());
        b.add(r.startedAtMillis());
        r.perSecond().ifPresentOrElse(b::add, b::addNull);
        b.add(r.ageMillis()).add(r.bound()).add(r.rejections());
      }
    }
    return JsonBodies.write(fields);
  }

  private static LoadReport read(JsonNode fields) throws IOException {
    int size = fields.size();
    while (size > HEADER_FIELDS
        && fields.size() - size < MAX_ARRAYS
        && fields.get(size - 1).isArray()) {
      size--;
    }
    if (!fields.isArray()
        || size < HEADER_FIELDS
        || (size - HEADER_FIELDS) % FIELDS_PER_ENTRY != 0) {
      throw new IOException("a load report must consist of a header and complete entries");
    }
    List<LoadReport.Entry> entries = new ArrayList<>();
    for (int i = HEADER_FIELDS; i < size; i += FIELDS_PER_ENTRY) {
      entries.add(
          new LoadReport.Entry(
              JsonBodies.text(fields.get(i)),
              (int) JsonBodies.wholeNumber(fields.get(i + 1), MAX_REQUESTS),
              JsonBodies.wholeNumber(fields.get(i + 2), MAX_NUMBER)));
    }
    return new LoadReport(
        JsonBodies.text(fields.get(0)),
        JsonBodies.wholeNumber(fields.get(1), Long.MAX_VALUE),
        JsonBodies.wholeNumber(fields.get(2), Long.MAX_VALUE),
        entries,
        readLimits(fields.path(size)),
        readLeaving(fields.path(size + 1)),
        readVersions(fields.path(size + 2)),
        readBrittle(fields.path(size + 3)));
  }

  private static Optional<List<StreamOrigin>> readVersions(JsonNode versions) throws IOException {
    if (versions.isMissingNode() || versions.path(0).isNull()) {
      return Optional.empty();
    }
    List<StreamOrigin> result = new ArrayList<>();
    for (JsonNode v : versions) {
      if (v.size() < FIELDS_PER_VERSION) {
        throw new IOException("a version in a load report is incomplete");
      }
      result.add(new StreamOrigin(JsonBodies.text(v.get(0)), JsonBodies.text(v.get(1))));
    }
    return Optional.of(result);
  }

  private static List<BrittleUpstreams.Report> readBrittle(JsonNode brittle) throws IOException {
    List<BrittleUpstreams.Report> result = new ArrayList<>();
    for (JsonNode b : brittle) {
      if (b.size() < FIELDS_PER_BRITTLE) {
        throw new IOException("a brittle upstream in a load report is incomplete");
      }
      result.add(
          new BrittleUpstreams.Report(
              JsonBodies.text(b.get(0)),
              JsonBodies.text(b.get(1)),
              JsonBodies.wholeNumber(b.get(2), Long.MAX_VALUE),
              b.get(3).isNull()
                  ? OptionalInt.empty()
                  : OptionalInt.of(
                      (int) JsonBodies.wholeNumber(b.get(3), RejectionTolerance.MAX_PER_SECOND)),
              JsonBodies.wholeNumber(b.get(4), MAX_NUMBER),
              (int) JsonBodies.wholeNumber(b.get(5), Integer.MAX_VALUE),
              JsonBodies.wholeNumber(b.get(6), MAX_NUMBER)));
    }
    return result;
  }

  private static List<UpstreamLimits.Report> readLimits(JsonNode limits) throws IOException {
    List<UpstreamLimits.Report> result = new ArrayList<>();
    for (JsonNode limit : limits) {
      double perSecond = limit.path(1).asDouble();
      boolean isLimit = limit.path(1).isNull() || (limit.path(1).isNumber() && perSecond >= 0);
      if (limit.size() < FIELDS_PER_LIMIT || !isLimit) {
        throw new IOException("a limit in a load report is incomplete, negative or no number");
      }
      result.add(
          new UpstreamLimits.Report(
              JsonBodies.text(limit.get(0)),
              limit.get(1).isNumber()
                  ? OptionalDouble.of(Math.min(RequestLimit.MAX_PER_SECOND, perSecond))
                  : OptionalDouble.empty(),
              JsonBodies.wholeNumber(limit.get(2), MAX_NUMBER),
              JsonBodies.wholeNumber(limit.get(3), MAX_NUMBER)));
    }
    return result;
  }

  private static List<LeavingUpstream> readLeaving(JsonNode leaving) throws IOException {
    List<LeavingUpstream> result = new ArrayList<>();
    for (JsonNode l : leaving) {
      if (l.size() < FIELDS_PER_LEAVING) {
        throw new IOException("a leaving upstream in a load report is incomplete");
      }
      result.add(
          new LeavingUpstream(
              JsonBodies.text(l.get(0)),
              JsonBodies.text(l.get(1)),
              JsonBodies.wholeNumber(l.get(2), Long.MAX_VALUE)));
    }
    return result;
  }

  /**
   * Parses the address of another daemon, which may come from another writer. A host name is not
   * looked up, since that would block the event loop.
   */
  private Optional<InetSocketAddress> toAddress(String peer) {
    if (!SocketAddresses.isIpAndPort(peer)) {
      logFailure("cannot send a report to a daemon", new IOException("no IP address with a port"));
      return Optional.empty();
    }
    if (addresses.size() >= MAX_ADDRESSES) {
      addresses.clear();
    }
    return Optional.of(addresses.computeIfAbsent(peer, SocketAddresses::parse));
  }

  @Override
  public void receive(Consumer<LoadReport> receiver) {
    loadReceiver = receiver;
    receiveNext();
  }

  @Override
  public void receiveCrashes(Consumer<CrashReport> receiver) {
    crashReceiver = receiver;
    receiveNext();
  }

  @Override
  public void receiveHolders(Consumer<HolderCopy> receiver) {
    holderReceiver = receiver;
    receiveNext();
  }

  @Override
  public void receiveStreams(Consumer<StreamReport> receiver) {
    streamReceiver = receiver;
    receiveNext();
  }

  private void receiveNext() {
    if (socket == null || isReceiving) {
      return;
    }
    isReceiving = true;
    socket
        .receive()
        .whenResult(
            packet -> {
              isReceiving = false;
              handlePacket(packet);
              receiveNext();
            })
        .whenException(e -> logFailure("receiving failed; no further reports are received", e));
  }

  private void handlePacket(UdpPacket packet) {
    try {
      JsonNode node = JsonBodies.MAPPER.readTree(packet.getBuf().asArray());
      if (StreamReportFormat.isReport(node)) {
        streamReceiver.accept(StreamReportFormat.read(node));
      } else if (node.has(HOLDERS)) {
        readHolders(node.get(HOLDERS)).forEach(holderReceiver);
      } else if (node.isObject()) {
        crashReceiver.accept(CrashReportFormat.read(node));
      } else {
        loadReceiver.accept(read(node));
      }
    } catch (IOException | RuntimeException e) {
      // An exception that leaves the callback would end the receiving of reports.
      logFailure("cannot process a report", e);
    }
  }

  /** Logs only the first failure, because every datagram fails during a network partition. */
  private void logFailure(String text, Exception e) {
    if (!failureLogged) {
      failureLogged = true;
      LOG.log(Level.WARNING, text, e);
    }
  }
}
