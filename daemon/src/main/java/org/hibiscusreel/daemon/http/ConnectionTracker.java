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

/**
 * Records for each request whether a connection was opened for it, and which one. ActiveJ reports a
 * refused connection and one that broke later with the same exception type, and it has no method to
 * abort a request in progress.
 */
final class ConnectionTracker {

  private TcpSocket lastOpenedSocket;

  /** State of the connection of one request. */
  static final class State {

    private boolean connecting;
    private boolean aborted;
    private TcpSocket socket;

    /** Tells whether bytes of the request may have been sent, over a new or a reused connection. */
    boolean isConnected() {
      return !connecting;
    }

    /** Closes the connection immediately, or as soon as it is open. */
    void abort() {
      aborted = true;
      if (socket != null) {
        socket.close();
      }
    }
  }

  State track(HttpRequest request) {
    State state = new State();
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
      if (state.aborted) {
        lastOpenedSocket.close();
      } else {
        state.connecting = false;
      }
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
    public void onRead(TcpSocket socket, ByteBuf buf) {}

    @Override
    public void onReadEndOfStream(TcpSocket socket) {}

    @Override
    public void onReadError(TcpSocket socket, IOException e) {}

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {}

    @Override
    public void onWriteError(TcpSocket socket, IOException e) {}

    @Override
    public void onDisconnect(TcpSocket socket) {}
  }
}
