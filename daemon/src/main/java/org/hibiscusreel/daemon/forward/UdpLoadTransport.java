package org.hibiscusreel.daemon.forward;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import java.util.function.Consumer;
import org.hibiscusreel.coordination.forward.LoadTransport;
import org.hibiscusreel.core.forward.LoadReport;
import org.hibiscusreel.daemon.platform.JsonBodies;

/**
 * Load reports as JSON datagrams. A report is worth something for less than a second, so that a
 * connection that repeats what was lost would only delay the next one. Used only on the thread of
 * the event loop.
 */
public final class UdpLoadTransport implements LoadTransport {

  /** A longer report is not sent; it would be cut into many packets, of which one is lost soon. */
  static final int MAX_BYTES = 8_000;

  private static final int HEAD_FIELDS = 2;
  private static final int ENTRY_FIELDS = 3;
  private static final Logger LOG = System.getLogger(UdpLoadTransport.class.getName());

  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final NioReactor reactor;
  private final InetSocketAddress address;
  private UdpSocket socket;
  private boolean failureLogged;

  /**
   * Creates a transport that has no socket yet.
   *
   * @param reactor the event loop
   * @param address where reports are received
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
        .whenException(e -> logFailure("cannot open the socket of load reports", e));
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
    byte[] bytes = write(report);
    if (bytes.length > MAX_BYTES) {
      logFailure("a load report is too long to send", new IOException(bytes.length + " bytes"));
      return;
    }
    if (socket == null) {
      return;
    }
    for (String peer : peers) {
      socket
          .send(UdpPacket.of(ByteBuf.wrapForReading(bytes), toAddress(peer)))
          .whenException(e -> logFailure("cannot send a load report to " + peer, e));
    }
  }

  /** Writes {@code [sender, sequence, upstream, requests, unread tokens, upstream, ...]}. */
  private static byte[] write(LoadReport report) {
    ArrayNode fields = JsonBodies.MAPPER.createArrayNode();
    fields.add(report.sender()).add(report.sequence());
    for (LoadReport.Entry e : report.entries()) {
      fields.add(e.upstream()).add(e.requests()).add(e.unreadTokens());
    }
    return JsonBodies.write(fields);
  }

  private static LoadReport read(byte[] bytes) throws IOException {
    JsonNode fields = JsonBodies.MAPPER.readTree(bytes);
    if (fields == null || fields.size() % ENTRY_FIELDS != HEAD_FIELDS) {
      throw new IOException("a load report has a head and whole entries");
    }
    List<LoadReport.Entry> entries = new ArrayList<>();
    for (int i = HEAD_FIELDS; i < fields.size(); i += ENTRY_FIELDS) {
      entries.add(
          new LoadReport.Entry(
              fields.get(i).asText(), fields.get(i + 1).asInt(), fields.get(i + 2).asLong()));
    }
    return new LoadReport(fields.get(0).asText(), fields.get(1).asLong(), entries);
  }

  private InetSocketAddress toAddress(String peer) {
    return addresses.computeIfAbsent(
        peer,
        p -> {
          int colon = p.lastIndexOf(':');
          return new InetSocketAddress(
              p.substring(0, colon), Integer.parseInt(p.substring(colon + 1)));
        });
  }

  @Override
  public void receive(Consumer<LoadReport> receiver) {
    if (socket == null) {
      return;
    }
    socket
        .receive()
        .whenResult(
            packet -> {
              accept(packet, receiver);
              receive(receiver);
            })
        .whenException(e -> logFailure("no more load reports are received", e));
  }

  private void accept(UdpPacket packet, Consumer<LoadReport> receiver) {
    try {
      receiver.accept(read(packet.getBuf().asArray()));
    } catch (IOException e) {
      logFailure("a load report can't be read", e);
    }
  }

  /** Logs the first failure only, since a partition makes every datagram fail. */
  private void logFailure(String text, Exception e) {
    if (!failureLogged) {
      failureLogged = true;
      LOG.log(Level.WARNING, text, e);
    }
  }
}
