package org.hibiscusreel.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.dns.protocol.DnsResponse;
import io.activej.http.HttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.IdentityHashMap;

/**
 * Records for each request whether a connection was opened for it, and which one. ActiveJ reports a
 * refused connection and one that broke later with the same exception type, and it has no method to
 * abort a request in progress. Checks the responses before ActiveJ reads them, since it takes many
 * invalid heads for valid ones.
 */
final class ConnectionTracker {

  /**
   * Largest number of bytes of a response besides its body, in bytes, and beyond as many bytes as
   * the body has. Chunk extensions and trailers have no other limit.
   */
  static final long MAX_FRAMING_BYTES = 256 * 1024;

  private final IdentityHashMap<TcpSocket, State> states = new IdentityHashMap<>();
  private final TrafficListener traffic;
  private TcpSocket lastOpenedSocket;

  ConnectionTracker(TrafficListener traffic) {
    this.traffic = traffic;
  }

  /** State of the connection of one request. */
  final class State {

    private final ResponseFraming framing;
    private boolean connecting;
    private boolean aborted;
    private boolean isFramingLimited;
    private long receivedBytes;
    private long bodyBytes;
    private TcpSocket socket;
    private Runnable onConnected = () -> {};

    private State(ResponseFraming framing) {
      this.framing = framing;
    }

    void onConnected(Runnable action) {
      onConnected = action;
    }

    /** Tells whether bytes of the request may have been sent. */
    boolean isConnected() {
      return !connecting;
    }

    /** Closes the connection immediately, or as soon as it is open. */
    void abort() {
      aborted = true;
      if (socket != null) {
        states.remove(socket);
        socket.close();
      }
    }

    /**
     * Closes the connection when a response has too many bytes besides its body, whose size {@link
     * #onBodyBytes} reports.
     */
    void limitFraming() {
      isFramingLimited = true;
    }

    void onBodyBytes(int count) {
      bodyBytes += count;
    }

    /** Tells whether the response ends with its head, which was read and is valid. */
    boolean endsWithHead() {
      return framing.endsWithHead();
    }

    private void onReceived(ByteBuf buf) {
      receivedBytes += buf.readRemaining();
      if (isFramingLimited && receivedBytes > MAX_FRAMING_BYTES + 2 * bodyBytes) {
        abort();
        return;
      }
      framing.read(buf.array(), buf.head(), buf.tail()).ifPresent(f -> refuse(buf, f));
    }

    /** Withholds bytes of an invalid response, and ends its connection. */
    private void refuse(ByteBuf buf, String fault) {
      buf.tail(buf.head());
      states.remove(socket);
      socket.closeEx(new MalformedHttpException("invalid response: " + fault));
    }
  }

  State track(HttpRequest request) {
    State state = new State(new ResponseFraming(request.getMethod().name()));
    request.attach(State.class, state);
    return state;
  }

  TcpSocket.Inspector socketInspector() {
    return new SocketInspector();
  }

  HttpClient.Inspector clientInspector() {
    return new ClientInspector();
  }

  private final class ClientInspector extends AbstractInspector<HttpClient.Inspector>
      implements HttpClient.Inspector {

    @Override
    public void onRequest(HttpRequest request) {}

    @Override
    public void onRequestComplete(HttpResponse response, HttpClientConnection connection) {}

    @Override
    public void onResolve(HttpRequest request, DnsResponse response) {}

    @Override
    public void onResolveError(HttpRequest request, Exception e) {
      request.getAttachment(State.class).connecting = true;
    }

    @Override
    public void onConnecting(HttpRequest request, InetSocketAddress address) {
      request.getAttachment(State.class).connecting = true;
    }

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
      State state = request.getAttachment(State.class);
      state.socket = lastOpenedSocket;
      states.put(lastOpenedSocket, state);
      if (state.aborted) {
        lastOpenedSocket.close();
      } else {
        state.connecting = false;
      }
      state.onConnected.run();
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception e) {}

    @Override
    public void onHttpResponse(HttpResponse response) {}

    @Override
    public void onHttpError(HttpClientConnection connection, Exception e) {}

    @Override
    public void onMalformedHttpResponse(
        HttpClientConnection connection, MalformedHttpException e, byte[] bytes) {}

    @Override
    public void onDisconnect(HttpClientConnection connection) {}
  }

  /**
   * Records the socket opened last. The client reports it just before the connection that uses it.
   */
  private final class SocketInspector extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {

    @Override
    public void onConnect(TcpSocket socket) {
      lastOpenedSocket = socket;
    }

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
      traffic.onReceived(buf.readRemaining());
      State state = states.get(socket);
      if (state != null) {
        state.onReceived(buf);
      }
    }

    @Override
    public void onReadEndOfStream(TcpSocket socket) {}

    @Override
    public void onReadError(TcpSocket socket, IOException e) {}

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
      traffic.onSent(bytes);
    }

    @Override
    public void onWriteError(TcpSocket socket, IOException e) {}

    @Override
    public void onDisconnect(TcpSocket socket) {
      states.remove(socket);
    }
  }
}
