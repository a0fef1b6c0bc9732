package org.hibiscusreel.bench.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Serves the administrative paths and injects the configured faults before requests reach the
 * roles.
 */
final class FaultInjector implements AsyncServlet {

  private static final int MAX_BODY_BYTES = 16 << 20;

  /** Delay of a pause, so that the request that sets it can be answered first. */
  private static final int PAUSE_DELAY_MILLIS = 20;

  private final NioReactor reactor;
  private final Faults faults;
  private final List<Role> roles = new ArrayList<>();
  private final SocketTracker socketTracker = new SocketTracker();
  private Random lossRandom = new Random(1);
  private long crashedUntilMillis;
  private int crashes;
  private int lost;

  FaultInjector(NioReactor reactor, Faults faults) {
    this.reactor = reactor;
    this.faults = faults;
  }

  void add(Role role) {
    roles.add(role);
  }

  TcpSocket.Inspector socketTracker() {
    return socketTracker;
  }

  /** Simulates a crash: closes all connections and drops requests for the configured time. */
  void crash() {
    crashes++;
    crashedUntilMillis = reactor.currentTimeMillis() + faults.crashMs;
    roles.forEach(Role::crash);
    socketTracker.closeAll();
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    TcpSocket socket = socketTracker.lastReadSocket;
    if (reactor.currentTimeMillis() < crashedUntilMillis) {
      return dropConnection(socket);
    }
    String path = JsonHttp.decodedPath(request);
    if (path.equals("/faults") || path.equals("/observed")) {
      return request.loadBody(MAX_BODY_BYTES).map(loaded -> serveAdmin(request, path));
    }
    if (faults.down.equals("refuse")) {
      return JsonHttp.error(503, "down").toPromise();
    }
    if (faults.down.equals("drop")) {
      return dropConnection(socket);
    }
    Promise<ByteBuf> body = request.loadBody(MAX_BODY_BYTES);
    if (faults.slowMs > 0) {
      body = body.then(loaded -> Promises.delay(faults.slowMs, loaded));
    }
    return body.then(loaded -> dispatch(request, path, loaded.getArray()))
        .then(
            response -> {
              if (shouldLoseResponse(request, path, response)) {
                lost++;
                return dropConnection(socket);
              }
              return Promise.of(response);
            });
  }

  private Promise<HttpResponse> dispatch(HttpRequest request, String path, byte[] body) {
    for (Role role : roles) {
      if (role.serves(path)) {
        try {
          return role.serve(request, path, body);
        } catch (IllegalArgumentException e) {
          return JsonHttp.error(400, String.valueOf(e.getMessage())).toPromise();
        }
      }
    }
    return JsonHttp.error(404, "no such path").toPromise();
  }

  private boolean shouldLoseResponse(HttpRequest request, String path, HttpResponse response) {
    if (response.getCode() >= 300 || (faults.loseNext == 0 && faults.loseProbability == 0)) {
      return false;
    }
    if (roles.stream().noneMatch(role -> role.serves(path) && role.isWrite(request))) {
      return false;
    }
    if (faults.loseNext > 0) {
      faults.loseNext--;
      return true;
    }
    return lossRandom.nextDouble() < faults.loseProbability;
  }

  private static Promise<HttpResponse> dropConnection(TcpSocket socket) {
    IOException cause = new IOException("connection dropped by fault injection");
    socket.closeEx(cause);
    // The server removes a closed connection only once its request is answered, so the request is
    // answered with an exception; the write to the closed connection then fails.
    return Promise.ofException(cause);
  }

  private HttpResponse serveAdmin(HttpRequest request, String path) {
    if (path.equals("/observed")) {
      ObjectNode all = JsonHttp.MAPPER.createObjectNode().put("lost", lost).put("crashes", crashes);
      for (Role role : roles) {
        JsonNode observed = JsonHttp.MAPPER.valueToTree(role.observed());
        all.setAll((ObjectNode) observed);
      }
      return JsonHttp.json(200, all);
    }
    if (request.getMethod() == HttpMethod.POST) {
      try {
        JsonNode change = JsonHttp.parse(request.getBody().getArray());
        JsonHttp.MAPPER.readerForUpdating(faults).readValue(change);
        if (change.has("lose_seed")) {
          lossRandom = new Random(faults.loseSeed);
        }
      } catch (IllegalArgumentException | IOException e) {
        return JsonHttp.error(400, String.valueOf(e.getMessage()));
      }
      if (faults.pauseMs > 0) {
        int millis = faults.pauseMs;
        faults.pauseMs = 0;
        reactor.delay(PAUSE_DELAY_MILLIS, () -> pauseProcess(millis));
      }
    }
    return JsonHttp.json(200, faults);
  }

  private static void pauseProcess(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Tracks the open connections and the connection of the current request. The servlet runs during
   * the read from its connection, so the request belongs to the connection that was read last.
   */
  private static final class SocketTracker extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {

    private final Set<TcpSocket> open = new LinkedHashSet<>();
    private TcpSocket lastReadSocket;

    void closeAll() {
      for (TcpSocket socket : List.copyOf(open)) {
        socket.closeEx(new IOException("crashed"));
      }
    }

    @Override
    public void onConnect(TcpSocket socket) {
      open.add(socket);
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
      open.add(socket);
      lastReadSocket = socket;
    }

    @Override
    public void onDisconnect(TcpSocket socket) {
      open.remove(socket);
    }

    @Override
    public void onReadTimeout(TcpSocket socket) {}

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
  }
}
