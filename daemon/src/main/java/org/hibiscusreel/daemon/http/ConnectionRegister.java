package org.hibiscusreel.daemon.http;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides which connections of a server are closed so that all of them stay within its limits:
 * those whose clients keep a request unfinished come first, those that wait for a response never.
 * Used only on the event loop.
 *
 * @param <C> type of the connections, each equal only to itself
 */
public final class ConnectionRegister<C> {

  /** What a connection is waiting for. */
  public enum Phase {
    /** For the end of the head of a request, or for its first byte on a new connection. */
    HEAD,
    /** For the end of the body of a request. */
    BODY,
    /** For the response to a request that has arrived. */
    RESPONSE,
    /** For a further request. */
    IDLE
  }

  /** Time in milliseconds after which a client that has not gone on counts as stalled. */
  static final long STALL_MILLIS = 1_000;

  /** Size of the buffers in which a server should read requests, in bytes. */
  public static final int READ_BUFFER_BYTES = 4 * 1024;

  /** Memory of a head by its size: a buffer of the next power of two, and its fields as text. */
  private static final int HEAD_MEMORY_FACTOR = 4;

  private static final class Entry {

    private Phase phase = Phase.HEAD;
    private long sinceMillis;
    private long headBytes;
  }

  /**
   * Connections that are replaced in the time below. The operating system frees the descriptor of a
   * closed connection only after the turn of the event loop, which may accept hundreds.
   */
  static final int MAX_REPLACED = 16;

  private static final long REPLACED_WINDOW_MILLIS = 10;

  private final ConnectionLimits limits;
  private final Map<C, Entry> entries = new HashMap<>();
  private final Map<Phase, LinkedHashMap<C, Entry>> byPhase = new EnumMap<>(Phase.class);
  private long headBytes;
  private long replacedSinceMillis;
  private int replaced;

  /**
   * Creates a register without connections.
   *
   * @param limits what the connections may take in total
   * @throws NullPointerException if the argument is null
   */
  public ConnectionRegister(ConnectionLimits limits) {
    this.limits = Objects.requireNonNull(limits, "limits");
    for (Phase p : Phase.values()) {
      byPhase.put(p, new LinkedHashMap<>());
    }
  }

  /**
   * Returns the number of connections.
   *
   * @return 0 or more
   */
  public int count() {
    return entries.size();
  }

  /**
   * Returns the number of connections that wait for one thing.
   *
   * @param phase what they wait for
   * @return 0 or more
   */
  public int count(Phase phase) {
    return byPhase.get(phase).size();
  }

  /**
   * Returns a copy of all connections.
   *
   * @return connections in no order
   */
  public List<C> all() {
    return List.copyOf(entries.keySet());
  }

  /**
   * Returns the memory of the heads of all requests that have begun and have no response yet.
   *
   * @return bytes, 0 or more
   */
  public long headBytes() {
    return headBytes;
  }

  /**
   * Adds a new connection, on which nothing was received yet.
   *
   * @param connection the connection
   * @param nowMillis current monotonic time in milliseconds
   */
  public void add(C connection, long nowMillis) {
    Entry e = new Entry();
    e.sinceMillis = nowMillis;
    entries.put(connection, e);
    byPhase.get(Phase.HEAD).put(connection, e);
  }

  /**
   * Removes a connection that was closed.
   *
   * @param connection the connection, which may be unknown
   */
  public void remove(C connection) {
    Entry e = entries.remove(connection);
    if (e != null) {
      byPhase.get(e.phase).remove(connection);
      headBytes -= e.headBytes;
    }
  }

  /**
   * Records what a connection is waiting for after bytes came or a response was sent. A body that
   * goes on is as good as new; a head is not, so that single bytes don't keep a connection.
   *
   * @param connection the connection, which may be unknown
   * @param phase what it is waiting for
   * @param bytes size of the head of its request so far, 0 if that is not known any more
   * @param nowMillis current monotonic time in milliseconds
   */
  public void update(C connection, Phase phase, int bytes, long nowMillis) {
    Entry e = entries.get(connection);
    if (e == null) {
      return;
    }
    long memory = memory(e, phase, bytes);
    headBytes += memory - e.headBytes;
    e.headBytes = memory;
    if (e.phase != phase || phase == Phase.BODY) {
      byPhase.get(e.phase).remove(connection);
      e.phase = phase;
      e.sinceMillis = nowMillis;
      byPhase.get(phase).put(connection, e);
    }
  }

  /** Returns the memory of a head; it is kept until the response, also by the HTTP library. */
  private static long memory(Entry entry, Phase phase, int bytes) {
    if (bytes > 0) {
      return READ_BUFFER_BYTES + (long) HEAD_MEMORY_FACTOR * bytes;
    }
    return switch (phase) {
      case HEAD, IDLE -> 0;
      case BODY -> entry.headBytes;
      case RESPONSE -> Math.max(READ_BUFFER_BYTES, entry.headBytes);
    };
  }

  /**
   * Returns the connections to close so that the memory of heads is within its limit: those whose
   * heads began first, then those whose bodies have not gone on for longest.
   *
   * @return connections, none within the limit, and not enough if most wait for responses
   */
  public List<C> findExcess() {
    List<C> found = new ArrayList<>();
    long left = headBytes;
    for (Phase p : List.of(Phase.HEAD, Phase.BODY)) {
      Iterator<Map.Entry<C, Entry>> all = byPhase.get(p).entrySet().iterator();
      while (left > limits.headMemoryBytes() && all.hasNext()) {
        Map.Entry<C, Entry> next = all.next();
        if (next.getValue().headBytes > 0) {
          left -= next.getValue().headBytes;
          found.add(next.getKey());
        }
      }
    }
    return found;
  }

  /**
   * Tells whether the heads of all requests are within their memory.
   *
   * @return false if requests that wait for responses take too much
   */
  public boolean hasHeadMemory() {
    return headBytes <= limits.headMemoryBytes();
  }

  /**
   * Tells whether a new connection needs the place of another one.
   *
   * @return true at the largest number of connections
   */
  public boolean isFull() {
    return entries.size() >= limits.maxConnections();
  }

  /**
   * Takes the connection that is to be closed for a new one: one whose client has stalled in a
   * request, else one without a request, else one whose head is not complete.
   *
   * @param nowMillis current monotonic time in milliseconds
   * @return the connection, or empty if all wait for responses or receive bodies, or many were
   *     taken just before
   */
  public Optional<C> takeReplaceable(long nowMillis) {
    if (nowMillis - replacedSinceMillis >= REPLACED_WINDOW_MILLIS) {
      replacedSinceMillis = nowMillis;
      replaced = 0;
    }
    if (replaced >= MAX_REPLACED) {
      return Optional.empty();
    }
    Optional<C> found =
        stalled(Phase.HEAD, nowMillis)
            .or(() -> stalled(Phase.BODY, nowMillis))
            .or(() -> oldest(Phase.IDLE))
            .or(() -> oldest(Phase.HEAD));
    found.ifPresent(c -> replaced++);
    return found;
  }

  /**
   * Returns the connections whose clients have stalled in a body.
   *
   * @param nowMillis current monotonic time in milliseconds
   * @return connections, the one that has stalled for longest first
   */
  public List<C> findStalledBodies(long nowMillis) {
    return byPhase.get(Phase.BODY).entrySet().stream()
        .filter(e -> isStalled(e.getValue(), nowMillis))
        .map(Map.Entry::getKey)
        .toList();
  }

  private Optional<C> stalled(Phase phase, long nowMillis) {
    return first(phase).filter(e -> isStalled(e.getValue(), nowMillis)).map(e -> e.getKey());
  }

  private static boolean isStalled(Entry entry, long nowMillis) {
    return nowMillis - entry.sinceMillis >= STALL_MILLIS;
  }

  private Optional<C> oldest(Phase phase) {
    return first(phase).map(e -> e.getKey());
  }

  private Optional<Map.Entry<C, Entry>> first(Phase phase) {
    Iterator<Map.Entry<C, Entry>> all = byPhase.get(phase).entrySet().iterator();
    return all.hasNext() ? Optional.of(all.next()) : Optional.empty();
  }
}
