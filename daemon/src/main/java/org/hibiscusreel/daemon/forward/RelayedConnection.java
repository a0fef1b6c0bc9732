package org.hibiscusreel.daemon.forward;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.MemSize;
import io.activej.net.socket.tcp.TcpSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.daemon.http.ResponseFraming;

/**
 * One request that another daemon, the origin, sends through this one. Of each direction at most
 * one buffer is kept: the next bytes are read when the other side has taken the last ones. The end
 * of the upstream's connection is passed on as an end, its failure and an invalid response as a
 * reset.
 */
final class RelayedConnection {

  /** Size of a buffer. */
  static final MemSize BUFFER_SIZE = MemSize.kilobytes(8);

  /** Largest size in bytes of the head of a request or of a response that is looked at. */
  static final int MAX_HEAD_BYTES = 32 * 1024;

  /** Time in milliseconds in which the head of a request must arrive. */
  static final long HEAD_TIMEOUT_MILLIS = 2_000;

  /** Time in milliseconds that the origin has to read a refusal. */
  static final long REFUSAL_TIMEOUT_MILLIS = 1_000;

  /** Time in milliseconds that the origin has to read the last bytes of a response. */
  static final long LAST_BYTES_TIMEOUT_MILLIS = 30_000;

  private final RelayServer server;
  private final TcpSocket origin;
  private MessageHead requestHead;
  private MessageHead responseHead = new MessageHead(MAX_HEAD_BYTES);
  private ResponseFraming responseFraming;
  private UpstreamEntry entry;
  private TcpSocket upstream;
  private long sentAtMillis;
  private Cancellable timer = () -> {};
  private boolean ended;
  private boolean closed;

  RelayedConnection(RelayServer server, TcpSocket origin) {
    this.server = server;
    this.origin = origin;
    this.requestHead = new MessageHead(server.maxHeadBytes());
  }

  void start() {
    timer = server.scheduler().schedule(HEAD_TIMEOUT_MILLIS, this::reset);
    readHead();
  }

  private void readHead() {
    origin
        .read()
        .async()
        .whenComplete(
            (buf, e) -> {
              if (closed || e != null || buf == null) {
                recycle(buf);
                reset();
                return;
              }
              server.traffic().onReceived(buf.readRemaining());
              MessageHead.State state =
                  requestHead.add(buf.array(), buf.head(), buf.readRemaining());
              buf.recycle();
              switch (state) {
                case INCOMPLETE -> {
                  server.onHeadBytes(this, requestHead.size());
                  readHead();
                }
                case TOO_LARGE -> reset();
                default -> onRequestHead();
              }
            });
  }

  private void onRequestHead() {
    timer.cancel();
    server.onHeadRead(this);
    RelayTicket ticket =
        requestHead.find(RelayTicket.REQUEST_FIELD).flatMap(RelayTicket::parse).orElse(null);
    if (ticket == null) {
      reset();
      return;
    }
    RelayAdmission.Decision decision = server.decide(ticket);
    if (decision instanceof RelayAdmission.Decision.Refused r) {
      refuse(ticket, r.reason());
    } else if (decision instanceof RelayAdmission.Decision.Admitted a) {
      connect(ticket, a.upstream());
    }
  }

  private void connect(RelayTicket ticket, UpstreamEntry admitted) {
    entry = admitted;
    server
        .connect(admitted)
        .whenComplete(
            (socket, e) -> {
              if (e != null) {
                refuse(ticket, RelayRefusal.UNREACHABLE);
                return;
              }
              upstream = socket;
              if (closed) {
                upstream.close();
              } else {
                begin();
              }
            });
  }

  private void begin() {
    sentAtMillis = server.scheduler().nowMillis();
    byte[] head = requestHead.rewrite(RelayTicket.REQUEST_FIELD, entry.address());
    byte[] rest = requestHead.rest();
    responseFraming = new ResponseFraming(requestHead.method());
    requestHead = null;
    ByteBuf first = ByteBuf.wrapForWriting(new byte[head.length + rest.length]);
    first.put(head);
    first.put(rest);
    server.traffic().onSent(first.readRemaining());
    upstream.write(first).whenResult(this::passToUpstream).whenException(e -> reset());
    passToOrigin();
  }

  private void passToUpstream() {
    if (closed) {
      return;
    }
    origin
        .read()
        .async()
        .whenComplete(
            (buf, e) -> {
              if (closed || e != null || buf == null) {
                recycle(buf);
                reset();
              } else if (ended) {
                buf.recycle();
                passToUpstream();
              } else {
                count(buf);
                upstream
                    .write(buf)
                    .whenResult(this::passToUpstream)
                    .whenException(x -> onUpstreamWriteFailed());
              }
            });
  }

  /** A write also fails where the upstream ended its connection in order, which is read first. */
  private void onUpstreamWriteFailed() {
    if (ended) {
      passToUpstream();
    } else {
      reset();
    }
  }

  private void passToOrigin() {
    if (closed) {
      return;
    }
    upstream
        .read()
        .async()
        .whenComplete(
            (buf, e) -> {
              if (closed || e != null) {
                recycle(buf);
                reset();
              } else if (buf == null) {
                end();
              } else if (isInvalid(buf)) {
                buf.recycle();
                reset();
              } else {
                count(buf);
                watchResponseHead(buf);
                origin.write(buf).whenResult(this::passToOrigin).whenException(x -> reset());
              }
            });
  }

  private void count(ByteBuf buf) {
    server.traffic().onReceived(buf.readRemaining());
    server.traffic().onSent(buf.readRemaining());
  }

  /** Tells whether the response turned out to be invalid, so that it must not look complete. */
  private boolean isInvalid(ByteBuf buf) {
    Optional<String> fault = responseFraming.read(buf.array(), buf.head(), buf.tail());
    fault.ifPresent(f -> server.onInvalidResponse(entry, f));
    return fault.isPresent();
  }

  private void watchResponseHead(ByteBuf buf) {
    if (responseHead == null) {
      return;
    }
    MessageHead.State state = responseHead.add(buf.array(), buf.head(), buf.readRemaining());
    if (state == MessageHead.State.COMPLETE) {
      server.onResponseHead(entry, responseHead, sentAtMillis);
    }
    if (state != MessageHead.State.INCOMPLETE) {
      responseHead = null;
    }
  }

  /** Ends the response, and waits until the origin has read it and closes. */
  private void end() {
    ended = true;
    upstream.close();
    timer = server.scheduler().schedule(LAST_BYTES_TIMEOUT_MILLIS, this::reset);
    origin.write(null).whenException(e -> reset());
  }

  private void refuse(RelayTicket ticket, RelayRefusal reason) {
    if (closed) {
      return;
    }
    ended = true;
    timer = server.scheduler().schedule(REFUSAL_TIMEOUT_MILLIS, this::reset);
    String text =
        "HTTP/1.1 503 Service Unavailable\r\n"
            + (RelayTicket.REFUSAL_FIELD + ": " + ticket.toRefusal(reason) + "\r\n")
            + "Connection: close\r\nContent-Length: 0\r\n\r\n";
    ByteBuf bytes = ByteBuf.wrapForReading(text.getBytes(StandardCharsets.ISO_8859_1));
    server.traffic().onSent(bytes.readRemaining());
    origin.write(bytes).whenException(e -> reset());
    // The rest of the request is read, since closing before would reset the connection.
    passToUpstream();
  }

  /** Closes both connections; the one to the origin is reset. */
  void reset() {
    if (closed) {
      return;
    }
    closed = true;
    timer.cancel();
    origin.close();
    if (upstream != null) {
      upstream.close();
    }
    server.onClosed(this);
  }

  private static void recycle(ByteBuf buf) {
    if (buf != null) {
      buf.recycle();
    }
  }
}
