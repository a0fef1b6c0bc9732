package org.hibiscusreel.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.http.PoolLabel;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Objects;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/**
 * Follows the connections of callers: ends those that send a request too slowly or don't read their
 * answer, and notices callers that go away. ActiveJ's own read and write timeout can't be used,
 * since it also ends answers that are streamed for longer.
 */
public final class CallerConnections {

  /** Longest time from the first byte of a request to the end of its headers. */
  static final long HEADER_TIMEOUT_MILLIS = 10_000;

  /** Longest time that a new connection may send nothing. */
  static final long FIRST_BYTE_TIMEOUT_MILLIS = 60_000;

  /** Longest time that a caller may read nothing while an answer waits for it. */
  public static final long WRITE_TIMEOUT_MILLIS = 30_000;

  private static final long CLOSE_DELAY_MILLIS = 1000;
  private static final long CHECK_INTERVAL_MILLIS = 1000;

  private final Scheduler scheduler;
  private final CurrentTimeProvider loopTime;
  private final IdentityHashMap<HttpServerConnection, Entry> entries = new IdentityHashMap<>();
  private Cancellable timer;
  private TcpSocket newest;
  private boolean isNewestTls;

  /**
   * Creates a follower without connections.
   *
   * @param scheduler time and delayed tasks of the event loop
   * @param loopTime time of the event loop, with which ActiveJ stamps its connections
   * @throws NullPointerException if an argument is null
   */
  public CallerConnections(Scheduler scheduler, CurrentTimeProvider loopTime) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.loopTime = Objects.requireNonNull(loopTime, "loopTime");
  }

  /** One connection. */
  public final class Entry {

    private final TcpSocket socket;
    private final boolean isTls;
    private final long openedAt = scheduler.nowMillis();
    private long respondingSince;
    private boolean isResponding;
    private boolean isStreamed;
    private boolean hasPipelined;
    private boolean wasUsed;
    private boolean isEnding;
    private Runnable onGone;

    private Entry(TcpSocket socket, boolean isTls) {
      this.socket = socket;
      this.isTls = isTls;
    }

    /** Closes the connection. */
    public void close() {
      socket.close();
    }

    /** Closes the connection when the answer had time to leave, although the body did not come. */
    public void closeSoon() {
      isEnding = true;
      scheduler.schedule(CLOSE_DELAY_MILLIS, this::close);
    }

    /**
     * Tells whether the connection will be closed soon, so that what still arrives on it is no
     * request.
     *
     * @return true after {@link #closeSoon}
     */
    public boolean isEnding() {
      return isEnding;
    }

    /**
     * Calls a task once if the caller goes away before its answer is sent. Must be called after the
     * body of the request was read.
     *
     * @param task the task
     */
    public void watch(Runnable task) {
      onGone = task;
      if (!isTls && !socket.isClosed()) {
        watchSocket();
      }
    }

    /** Marks that the answer is a stream, which ends stalled writes itself. */
    public void markStreamed() {
      isStreamed = true;
      isResponding = false;
    }

    private void watchSocket() {
      // ActiveJ does not read while a request is served, so that a closed connection goes
      // unnoticed.
      // It replaces this read by its own one for the next request.
      socket
          .read()
          .whenResult(
              buf -> {
                if (buf == null) {
                  gone();
                  socket.close();
                } else {
                  // A pipelined request, which a caller repeats after the connection was closed.
                  buf.recycle();
                  hasPipelined = true;
                }
              })
          .whenException(e -> gone());
    }

    private void gone() {
      Runnable task = onGone;
      onGone = null;
      if (task != null) {
        task.run();
      }
    }

    private boolean isExpired(HttpServerConnection connection, long now) {
      if (isResponding) {
        return now - respondingSince > WRITE_TIMEOUT_MILLIS;
      }
      PoolLabel pool = connection.getCurrentPool();
      if (pool == PoolLabel.NEW) {
        return !wasUsed && now - openedAt > FIRST_BYTE_TIMEOUT_MILLIS;
      }
      if (pool == PoolLabel.READ_WRITE && onGone == null) {
        long since = connection.getPoolTimestamp().toMillis();
        return loopTime.currentTimeMillis() - since > HEADER_TIMEOUT_MILLIS;
      }
      return false;
    }
  }

  /**
   * Returns the connection of a request.
   *
   * @param request a request in progress
   * @return its connection
   */
  public Entry entry(HttpRequest request) {
    return entries.get(request.getConnection());
  }

  /**
   * Returns the number of open connections.
   *
   * @return 0 or more
   */
  public int count() {
    return entries.size();
  }

  /** Starts to look for callers that are too slow. */
  public void start() {
    timer = scheduler.schedule(CHECK_INTERVAL_MILLIS, this::closeExpired);
  }

  /** Stops looking. */
  public void stop() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /**
   * Returns what the server must report to.
   *
   * @return inspector of the HTTP server
   */
  public HttpServer.Inspector serverInspector() {
    return new ServerInspector();
  }

  /**
   * Returns what the sockets of the server must report to.
   *
   * @param isTls whether the sockets carry TLS
   * @return inspector of the sockets
   */
  public TcpSocket.Inspector socketInspector(boolean isTls) {
    return new SocketInspector(isTls);
  }

  private void closeExpired() {
    long now = scheduler.nowMillis();
    List<Entry> expired = new ArrayList<>();
    entries.forEach(
        (c, e) -> {
          if (e.isExpired(c, now)) {
            expired.add(e);
          }
        });
    expired.forEach(Entry::close);
    timer = scheduler.schedule(CHECK_INTERVAL_MILLIS, this::closeExpired);
  }

  private final class ServerInspector extends AbstractInspector<HttpServer.Inspector>
      implements HttpServer.Inspector {

    @Override
    public void onAccept(HttpServerConnection connection) {
      entries.put(connection, new Entry(newest, isNewestTls));
    }

    @Override
    public void onHttpRequest(HttpRequest request) {
      entry(request).wasUsed = true;
    }

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse response) {
      Entry e = entry(request);
      e.isResponding = !e.isStreamed;
      e.respondingSince = scheduler.nowMillis();
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
      Entry e = entries.get(connection);
      if (e == null) {
        return;
      }
      e.isResponding = false;
      e.isStreamed = false;
      e.onGone = null;
      if (e.hasPipelined) {
        e.close();
      }
    }

    @Override
    public void onServletException(HttpRequest request, Exception e) {}

    @Override
    public void onHttpError(HttpServerConnection connection, Exception e) {}

    @Override
    public void onMalformedHttpRequest(
        HttpServerConnection connection, MalformedHttpException e, byte[] bytes) {}

    @Override
    public void onDisconnect(HttpServerConnection connection) {
      Entry e = entries.remove(connection);
      if (e != null) {
        e.gone();
      }
    }
  }

  /** Remembers the newest socket, which the server reports just before the connection over it. */
  private final class SocketInspector extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {

    private final boolean isTls;

    private SocketInspector(boolean isTls) {
      this.isTls = isTls;
    }

    @Override
    public void onConnect(TcpSocket socket) {
      newest = socket;
      isNewestTls = isTls;
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
