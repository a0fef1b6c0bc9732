package org.hibiscusreel.daemon.http;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.config.SocketAddresses;

/** Opens connections without a request, to find out whether a server is reached. */
public final class ConnectionProbe {

  private final NioReactor reactor;
  private final Duration timeout;

  /**
   * Creates a probe.
   *
   * @param reactor the event loop
   * @param timeout time for opening a connection
   * @throws NullPointerException if an argument is null
   */
  public ConnectionProbe(NioReactor reactor, Duration timeout) {
    this.reactor = Objects.requireNonNull(reactor, "reactor");
    this.timeout = Objects.requireNonNull(timeout, "timeout");
  }

  /**
   * Opens a connection and closes it at once.
   *
   * @param address IP address and port
   * @return whether the connection was opened; never completes exceptionally
   */
  public CompletableFuture<Boolean> connect(String address) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    try {
      TcpSocket.connect(
              reactor, SocketAddresses.parse(address), timeout, SocketSettings.defaultInstance())
          .whenResult(TcpSocket::close)
          .whenComplete((s, e) -> result.complete(e == null));
    } catch (RuntimeException e) {
      // A valid address may be of a kind that the socket can't connect to.
      result.complete(false);
    }
    return result;
  }
}
