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

/** Serves the admin paths and puts the faults in front of the roles. */
final class Gate implements AsyncServlet {

  private static final int MAX_BODY_BYTES = 16 << 20;

  /** Leaves time to answer the request that asks for the pause. */
  private static final int PAUSE_DELAY_MILLIS = 20;

  private final NioReactor reactor;
  private final Faults faults;
  private final List<Role> roles = new ArrayList<>();
  private final Sockets sockets = new Sockets();
  private Random losses = new Random(1);
  private long crashedUntil;
  private int crashes;
  private int lost;

  Gate(NioReactor reactor, Faults faults) {
    this.reactor = reactor;
    this.faults = faults;
  }

  void add(Role role) {
    roles.add(role);
  }

  TcpSocket.Inspector sockets() {
    return sockets;
  }

  /** Drops all connections and refuses new ones for the configured time. */
  void crash() {
    crashes++;
    crashedUntil = reactor.currentTimeMillis() + faults.crashMs;
    roles.forEach(Role::crash);
    sockets.closeAll();
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    TcpSocket socket = sockets.lastRead;
    if (reactor.currentTimeMillis() < crashedUntil) {
      return drop(socket);
    }
    String path = Http.path(request);
    if (path.equals("/faults") || path.equals("/observed")) {
      return request.loadBody(MAX_BODY_BYTES).map(b -> admin(request, path));
    }
    if (faults.down.equals("refuse")) {
      return Http.error(503, "down").toPromise();
    }
    if (faults.down.equals("drop")) {
      return drop(socket);
    }
    Promise<ByteBuf> body = request.loadBody(MAX_BODY_BYTES);
    if (faults.slowMs > 0) {
      body = body.then(b -> Promises.delay(faults.slowMs, b));
    }
    return body.then(b -> dispatch(request, path, b.getArray()))
        .then(
            r -> {
              if (isLost(request, path, r)) {
                lost++;
                return drop(socket);
              }
              return Promise.of(r);
            });
  }

  private Promise<HttpResponse> dispatch(HttpRequest request, String path, byte[] body) {
    for (Role r : roles) {
      if (r.serves(path)) {
        try {
          return r.serve(request, path, body);
        } catch (IllegalArgumentException e) {
          return Http.error(400, String.valueOf(e.getMessage())).toPromise();
        }
      }
    }
    return Http.error(404, "no such path").toPromise();
  }

  private boolean isLost(HttpRequest request, String path, HttpResponse response) {
    if (response.getCode() >= 300 || (faults.loseNext == 0 && faults.loseProbability == 0)) {
      return false;
    }
    if (roles.stream().noneMatch(r -> r.serves(path) && r.isWrite(request))) {
      return false;
    }
    if (faults.loseNext > 0) {
      faults.loseNext--;
      return true;
    }
    return losses.nextDouble() < faults.loseProbability;
  }

  private static Promise<HttpResponse> drop(TcpSocket socket) {
    IOException e = new IOException("dropped by a fault");
    socket.closeEx(e);
    // The server forgets a connection only once its request is answered; the write then fails.
    return Promise.ofException(e);
  }

  private HttpResponse admin(HttpRequest request, String path) {
    if (path.equals("/observed")) {
      ObjectNode all = Http.MAPPER.createObjectNode().put("lost", lost).put("crashes", crashes);
      for (Role r : roles) {
        JsonNode seen = Http.MAPPER.valueToTree(r.observed());
        all.setAll((ObjectNode) seen);
      }
      return Http.json(200, all);
    }
    if (request.getMethod() == HttpMethod.POST) {
      try {
        JsonNode change = Http.read(request.getBody().getArray());
        Http.MAPPER.readerForUpdating(faults).readValue(change);
        if (change.has("lose_seed")) {
          losses = new Random(faults.loseSeed);
        }
      } catch (IllegalArgumentException | IOException e) {
        return Http.error(400, String.valueOf(e.getMessage()));
      }
      if (faults.pauseMs > 0) {
        int millis = faults.pauseMs;
        faults.pauseMs = 0;
        reactor.delay(PAUSE_DELAY_MILLIS, () -> pause(millis));
      }
    }
    return Http.json(200, faults);
  }

  private static void pause(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Finds the connection of a request. The servlet runs within the read of its connection, so the
   * last connection read from is the one of the request.
   */
  private static final class Sockets extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {

    private final Set<TcpSocket> open = new LinkedHashSet<>();
    private TcpSocket lastRead;

    void closeAll() {
      for (TcpSocket s : List.copyOf(open)) {
        s.closeEx(new IOException("crashed"));
      }
    }

    @Override
    public void onConnect(TcpSocket socket) {
      open.add(socket);
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
      open.add(socket);
      lastRead = socket;
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
