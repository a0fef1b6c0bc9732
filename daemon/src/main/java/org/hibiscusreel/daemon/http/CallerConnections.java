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
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Scheduler;

/**
 * Tracks the connections of callers: closes those that send a request too slowly, don't read their
 * response or take the place of others, and detects callers that disconnect. ActiveJ's own read and
 * write timeout can't be used, because it also aborts responses that are streamed for longer than
 * the timeout.
 */
public final class CallerConnections {

  /** Longest time from the first byte of a request to the end of its headers, in milliseconds. */
  static final long HEADER_TIMEOUT_MILLIS = 10_000;

  /** Longest time until the first byte on a new connection, in milliseconds. */
  static final long FIRST_BYTE_TIMEOUT_MILLIS = 60_000;

  /**
   * Longest time that a caller may read nothing while a response is being sent, in milliseconds.
   */
  public static final long WRITE_TIMEOUT_MILLIS = 30_000;

  private static final long CLOSE_DELAY_MILLIS = 1000;

  /** Largest number of bytes that TLS adds to a head, in a handshake with certificates. */
  private static final int MAX_TLS_OVERHEAD_BYTES = 32 * 1024;

  private static final long CHECK_INTERVAL_MILLIS = 1000;

  private final Scheduler scheduler;
  private final CurrentTimeProvider loopTime;
  private final TrafficListener traffic;
  private final ConnectionLimits limits;
  private final ConnectionRegister<TrackedConnection> register;
  private final UnsentResponses<TrackedConnection> unsent;
  private final Supplier<byte[]> pipelinedRefusal;
  private final Function<RequestFraming.Fault, byte[]> framingRefusal;
  private final IdentityHashMap<HttpServerConnection, TrackedConnection> entries =
      new IdentityHashMap<>();
  private final IdentityHashMap<TcpSocket, TrackedConnection> entriesBySocket =
      new IdentityHashMap<>();
  private Cancellable timer;
  private TcpSocket lastOpenedSocket;
  private boolean isLastOpenedTls;
  private long closedByLimits;
  private boolean isClosingExcess;

  /**
   * Creates a tracker without connections.
   *
   * @param scheduler time and delayed tasks of the event loop
   * @param loopTime time of the event loop, from which ActiveJ takes the timestamps of its
   *     connections
   * @param limits what the connections may take in total
   * @param framingRefusal returns the bytes of the response to a request whose framing is improper
   * @throws NullPointerException if an argument is null
   */
  public CallerConnections(
      Scheduler scheduler,
      CurrentTimeProvider loopTime,
      ConnectionLimits limits,
      Function<RequestFraming.Fault, byte[]> framingRefusal) {
    this(scheduler, loopTime, limits, TrafficListener.NONE, () -> new byte[0], framingRefusal);
  }

  /**
   * Creates a tracker whose traffic is counted.
   *
   * @param scheduler time and delayed tasks of the event loop
   * @param loopTime time of the event loop, from which ActiveJ takes the timestamps of its
   *     connections
   * @param limits what the connections may take in total
   * @param traffic receives the number of bytes sent and received
   * @param pipelinedRefusal supplies the bytes of a response for a request that arrived before the
   *     previous response was sent and is not served; empty to close the connection without one
   * @param framingRefusal returns the bytes of the response to a request whose framing is improper
   * @throws NullPointerException if an argument is null
   */
  public CallerConnections(
      Scheduler scheduler,
      CurrentTimeProvider loopTime,
      ConnectionLimits limits,
      TrafficListener traffic,
      Supplier<byte[]> pipelinedRefusal,
      Function<RequestFraming.Fault, byte[]> framingRefusal) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.loopTime = Objects.requireNonNull(loopTime, "loopTime");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.register = new ConnectionRegister<>(limits);
    this.unsent = new UnsentResponses<>(limits.responseMemoryBytes());
    this.traffic = Objects.requireNonNull(traffic, "traffic");
    this.pipelinedRefusal = Objects.requireNonNull(pipelinedRefusal, "pipelinedRefusal");
    this.framingRefusal = Objects.requireNonNull(framingRefusal, "framingRefusal");
  }

  /** One tracked connection. */
  public final class TrackedConnection {

    private final TcpSocket socket;
    private final boolean isTls;
    private final RequestFraming framing = new RequestFraming(limits.maxHeadBytes());
    private final long openedAt = scheduler.nowMillis();
    private long respondingSince;
    private boolean isResponding;
    private boolean isStreamed;
    private boolean hasPipelined;
    private boolean isClosing;
    private boolean isFaultRefused;
    private int tlsBytes;
    private long requests;
    private long responses;
    private Runnable disconnectTask;

    private TrackedConnection(TcpSocket socket, boolean isTls) {
      this.socket = socket;
      this.isTls = isTls;
    }

    /** Closes the connection. */
    public void close() {
      socket.close();
    }

    /**
     * Closes the connection after a delay that lets the response be sent, for requests whose body
     * was not read to its end.
     */
    public void closeAfterDelay() {
      isClosing = true;
      scheduler.schedule(CLOSE_DELAY_MILLIS, this::close);
    }

    /**
     * Tells whether the connection is about to be closed. Bytes that still arrive on it must not be
     * taken for a request.
     *
     * @return true after {@link #closeAfterDelay}
     */
    public boolean isClosing() {
      return isClosing;
    }

    /**
     * Sets a task that is called once if the caller disconnects before its response is sent. Must
     * be called after the body of the request was read.
     *
     * @param task the task
     */
    public void setDisconnectTask(Runnable task) {
      disconnectTask = task;
      if (!isTls && !socket.isClosed()) {
        detectDisconnect();
      }
    }

    /**
     * Counts bytes of a response that wait until the caller reads. If those of all connections
     * exceed their limit, the connections on which nothing was sent for longest are closed.
     *
     * @param bytes number of bytes, 0 or more
     */
    public void addUnsent(int bytes) {
      if (!socket.isClosed()) {
        unsent.add(this, bytes);
        scheduleCloseExcess();
      }
    }

    /** Marks the response as a stream, which detects stalled writes itself. */
    public void markStreamed() {
      isStreamed = true;
      isResponding = false;
    }

    private void detectDisconnect() {
      // ActiveJ does not read while a request is served and so does not detect a closed
      // connection. For the next request it replaces this read with its own.
      socket
          .read()
          .whenResult(
              buf -> {
                if (buf == null) {
                  notifyDisconnected();
                  socket.close();
                } else {
                  // A pipelined request, which can't be given back to ActiveJ.
                  hasPipelined |= !isEmptyLine(buf);
                  buf.recycle();
                  detectDisconnect();
                }
              })
          .whenException(e -> notifyDisconnected());
    }

    /** Tells whether there are only line ends, which may precede a request. */
    private static boolean isEmptyLine(ByteBuf buf) {
      for (int i = 0; i < buf.readRemaining(); i++) {
        byte b = buf.peek(i);
        if (b != '\r' && b != '\n') {
          return false;
        }
      }
      return true;
    }

    /** Refuses the pipelined request, so that its caller knows that it will not run, and closes. */
    private void refusePipelined() {
      byte[] refusal = pipelinedRefusal.get();
      if (refusal.length == 0 || socket.isClosed()) {
        close();
        return;
      }
      socket.write(ByteBuf.wrapForReading(refusal)).whenResult(this::shutDownOutput);
      closeAfterDelay();
    }

    /** Tells what the connection is waiting for; of TLS only the number of bytes is known. */
    private ConnectionRegister.Phase phase() {
      long arrived = isTls ? requests : framing.completed();
      if (arrived > responses) {
        // The caller may have begun to send a further request already.
        return ConnectionRegister.Phase.RESPONSE;
      }
      if (isTls ? tlsBytes > 0 : framing.isInHead()) {
        return ConnectionRegister.Phase.HEAD;
      }
      if (!isTls && !framing.isBetweenMessages()) {
        return ConnectionRegister.Phase.BODY;
      }
      return responses == 0 ? ConnectionRegister.Phase.HEAD : ConnectionRegister.Phase.IDLE;
    }

    private void updatePhase() {
      int head = isTls ? tlsBytes : framing.headBytes();
      register.update(this, phase(), head, scheduler.nowMillis());
    }

    /** Takes the bytes of TLS that precede a request for its head. */
    private void countTls(int bytes) {
      if (requests > responses) {
        return;
      }
      tlsBytes += bytes;
      updatePhase();
      if (tlsBytes > limits.maxHeadBytes() + MAX_TLS_OVERHEAD_BYTES && !isClosing) {
        isClosing = true;
        closedByLimits++;
        scheduler.schedule(0, this::close);
      }
    }

    /** Withholds the bytes of an improper request, and all after it, from the HTTP library. */
    private void checkFraming(ByteBuf buf) {
      if (framing.fault().isPresent()) {
        buf.tail(buf.head());
        return;
      }
      buf.tail(framing.read(buf.array(), buf.head(), buf.tail()));
      updatePhase();
      if (framing.fault().isPresent()) {
        // The proper requests before it are read first.
        scheduler.schedule(0, this::refuseFault);
      }
    }

    /** Refuses the improper request once all requests before it have their responses. */
    private void refuseFault() {
      RequestFraming.Fault fault = framing.fault().orElse(null);
      if (fault == null || isFaultRefused || responses < fault.requestsBefore()) {
        return;
      }
      isFaultRefused = true;
      byte[] refusal = framingRefusal.apply(fault);
      if (socket.isClosed()) {
        return;
      }
      boolean isAnswered = responses > fault.requestsBefore() || isResponding || isStreamed;
      if (!isAnswered) {
        socket.write(ByteBuf.wrapForReading(refusal)).whenResult(this::shutDownOutput);
      }
      closeAfterDelay();
    }

    /** Sends the end of the stream, so that no further response can follow. */
    private void shutDownOutput() {
      try {
        socket.getSocketChannel().shutdownOutput();
      } catch (IOException e) {
        close();
      }
    }

    private void notifyDisconnected() {
      Runnable task = disconnectTask;
      disconnectTask = null;
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
        return requests == 0 && now - openedAt > FIRST_BYTE_TIMEOUT_MILLIS;
      }
      if (pool == PoolLabel.READ_WRITE && disconnectTask == null) {
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
  public TrackedConnection connectionOf(HttpRequest request) {
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

  /**
   * Returns the number of connections on which a response is being sent. A response counts until
   * its last byte was handed to the operating system.
   *
   * @return 0 or more
   */
  public int respondingCount() {
    return (int) entries.values().stream().filter(e -> e.isResponding || e.isStreamed).count();
  }

  /**
   * Returns the memory of the heads of all requests in progress.
   *
   * @return bytes, 0 or more
   */
  public long headBytes() {
    return register.headBytes();
  }

  /**
   * Returns the bytes of all responses that wait until their callers read.
   *
   * @return bytes, 0 or more
   */
  public long unsentBytes() {
    return unsent.bytes();
  }

  /**
   * Returns the number of connections that were closed, or not accepted, because of the limits.
   *
   * @return 0 or more
   */
  public long closedByLimits() {
    return closedByLimits;
  }

  /**
   * Makes room for a new connection, if need be by closing another one.
   *
   * @return false if the new connection must not be accepted
   */
  public boolean admit() {
    if (!register.isFull()) {
      return true;
    }
    closedByLimits++;
    Optional<TrackedConnection> replaceable = register.takeReplaceable(scheduler.nowMillis());
    replaceable.ifPresent(TrackedConnection::close);
    return replaceable.isPresent();
  }

  /** Closes connections after the current read, which may be one of theirs. */
  private void scheduleCloseExcess() {
    boolean isWithinLimits =
        register.hasHeadMemory() && unsent.bytes() <= limits.responseMemoryBytes();
    if (!isClosingExcess && !isWithinLimits) {
      isClosingExcess = true;
      scheduler.schedule(0, this::closeExcess);
    }
  }

  private void closeExcess() {
    isClosingExcess = false;
    List<TrackedConnection> excess = new ArrayList<>(register.findExcess());
    excess.addAll(unsent.findExcess());
    for (TrackedConnection c : excess) {
      closedByLimits++;
      c.close();
    }
  }

  /**
   * Tells whether the heads of all requests are within their memory, so that a further request may
   * be served.
   *
   * @return false if the requests in progress take too much
   */
  public boolean hasHeadMemory() {
    return register.hasHeadMemory();
  }

  /** Closes the connections whose clients have stalled in a body, so that others find memory. */
  public void closeStalledBodies() {
    for (TrackedConnection c : register.findStalledBodies(scheduler.nowMillis())) {
      closedByLimits++;
      c.close();
    }
  }

  /** Starts the periodic check for callers that are too slow. */
  public void start() {
    timer = scheduler.schedule(CHECK_INTERVAL_MILLIS, this::closeExpired);
  }

  /** Stops the periodic check. */
  public void stop() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /**
   * Returns the inspector to register at the HTTP server.
   *
   * @return inspector of the HTTP server
   */
  public HttpServer.Inspector serverInspector() {
    return new ServerInspector();
  }

  /**
   * Returns the inspector to register at the sockets of the server.
   *
   * @param isTls whether the sockets carry TLS
   * @return inspector of the sockets
   */
  public TcpSocket.Inspector socketInspector(boolean isTls) {
    return new SocketInspector(isTls);
  }

  private void closeExpired() {
    long now = scheduler.nowMillis();
    List<TrackedConnection> expired = new ArrayList<>();
    entries.forEach(
        (c, e) -> {
          if (e.isExpired(c, now)) {
            expired.add(e);
          }
        });
    expired.forEach(TrackedConnection::close);
    timer = scheduler.schedule(CHECK_INTERVAL_MILLIS, this::closeExpired);
  }

  private final class ServerInspector extends AbstractInspector<HttpServer.Inspector>
      implements HttpServer.Inspector {

    @Override
    public void onAccept(HttpServerConnection connection) {
      TrackedConnection e = new TrackedConnection(lastOpenedSocket, isLastOpenedTls);
      entries.put(connection, e);
      entriesBySocket.put(lastOpenedSocket, e);
      register.add(e, scheduler.nowMillis());
    }

    @Override
    public void onHttpRequest(HttpRequest request) {
      TrackedConnection e = connectionOf(request);
      e.requests++;
      e.tlsBytes = 0;
      e.updatePhase();
    }

    @Override
    public void onHttpResponse(HttpRequest request, HttpResponse response) {
      TrackedConnection entry = connectionOf(request);
      entry.isResponding = !entry.isStreamed;
      entry.respondingSince = scheduler.nowMillis();
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
      TrackedConnection e = entries.get(connection);
      if (e == null) {
        return;
      }
      e.isResponding = false;
      e.isStreamed = false;
      e.disconnectTask = null;
      e.responses++;
      unsent.remove(e);
      e.updatePhase();
      if (e.hasPipelined) {
        e.refusePipelined();
      } else {
        e.refuseFault();
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
      TrackedConnection e = entries.remove(connection);
      if (e != null) {
        entriesBySocket.remove(e.socket);
        register.remove(e);
        unsent.remove(e);
        e.notifyDisconnected();
      }
    }
  }

  /**
   * Records the socket opened last. The server reports it just before the connection that uses it.
   */
  private final class SocketInspector extends AbstractInspector<TcpSocket.Inspector>
      implements TcpSocket.Inspector {

    private final boolean isTls;

    private SocketInspector(boolean isTls) {
      this.isTls = isTls;
    }

    @Override
    public void onConnect(TcpSocket socket) {
      lastOpenedSocket = socket;
      isLastOpenedTls = isTls;
    }

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
      traffic.onReceived(buf.readRemaining());
      TrackedConnection e = entriesBySocket.get(socket);
      if (e == null) {
        return;
      }
      if (isTls) {
        e.countTls(buf.readRemaining());
      } else {
        e.checkFraming(buf);
      }
      scheduleCloseExcess();
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
      TrackedConnection e = entriesBySocket.get(socket);
      if (e != null && bytes > 0) {
        unsent.onSent(e, bytes);
      }
    }

    @Override
    public void onWriteError(TcpSocket socket, IOException e) {}

    @Override
    public void onDisconnect(TcpSocket socket) {}
  }
}
