package org.hibiscusreel.daemon.forward;

import java.util.Objects;
import org.hibiscusreel.daemon.http.ConnectionLimits;
import org.hibiscusreel.daemon.http.ConnectionRegister;

/**
 * What the clients of a daemon may take of its descriptors and memory.
 *
 * @param callers limits of the connections of callers
 * @param status limits of the connections to each port for readiness and metrics
 * @param relays limits of the connections from daemons that reach no upstream; the number counts
 *     those on which a request is passed on
 * @param bodyMemoryBytes largest memory of the bodies of requests in progress, in bytes
 */
public record IntakeLimits(
    ConnectionLimits callers,
    ConnectionLimits status,
    ConnectionLimits relays,
    long bodyMemoryBytes) {

  /** Descriptors of files and of what else is no connection. */
  private static final int FILE_DESCRIPTORS = 200;

  private static final int STATUS_PORTS = 2;
  private static final int MAX_STATUS_CONNECTIONS = 64;
  private static final int STATUS_SOCKET_DIVISOR = 16;
  private static final int STATUS_HEAD_BYTES = 8 * 1024;
  private static final int MAX_RELAYED = 256;
  private static final int RELAY_SOCKET_DIVISOR = 8;

  /** Sockets for each request that is relayed: one more may wait for its head meanwhile. */
  private static final int SOCKETS_PER_RELAYED = 3;

  /** Sockets for each connection of a caller, whose request takes one to an upstream. */
  private static final int SOCKETS_PER_CALLER = 2;

  /** Memory of a connection of a caller with a small request in progress, in bytes. */
  private static final int CONNECTION_BYTES = 16 * 1024;

  /** The bodies of requests may take the heap divided by this. */
  private static final int BODY_HEAP_DIVISOR = 4;

  /** The responses that wait until their callers read may take the heap divided by this. */
  private static final int RESPONSE_HEAP_DIVISOR = 6;

  /** The largest response of an upstream that is passed on, in bytes. */
  private static final long MIN_RESPONSE_MEMORY_BYTES = 4L * 1024 * 1024;

  /** Memory of all bodies that is left for small ones, as a part of the whole. */
  private static final int SMALL_BODY_DIVISOR = 8;

  /**
   * Checks the values.
   *
   * @throws NullPointerException if a value is null
   * @throws IllegalArgumentException if the largest body or response finds no memory
   */
  public IntakeLimits {
    Objects.requireNonNull(callers, "callers");
    Objects.requireNonNull(status, "status");
    Objects.requireNonNull(relays, "relays");
    if (callers.responseMemoryBytes() < MIN_RESPONSE_MEMORY_BYTES) {
      throw new IllegalArgumentException(
          "the memory of responses is smaller than " + MIN_RESPONSE_MEMORY_BYTES + " bytes");
    }
    if (bodyMemoryBytes < minBodyMemoryBytes()) {
      throw new IllegalArgumentException(
          "the memory of bodies is smaller than " + minBodyMemoryBytes() + " bytes");
    }
  }

  /** Returns the smallest memory in bytes in which the largest body fits beside small ones. */
  public static long minBodyMemoryBytes() {
    return ForwardServer.MAX_BODY_BYTES * (long) SMALL_BODY_DIVISOR / (SMALL_BODY_DIVISOR - 1) + 1;
  }

  /** Returns the part of the memory of all bodies that is left for small ones, in bytes. */
  long smallBodyMemoryBytes() {
    return bodyMemoryBytes / SMALL_BODY_DIVISOR;
  }

  /**
   * Returns limits that fit a process.
   *
   * @param maxDescriptors largest number of open descriptors
   * @param heapBytes size of the heap in bytes
   * @return limits
   */
  public static IntakeLimits forProcess(int maxDescriptors, long heapBytes) {
    int sockets = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
    int status = Math.max(1, Math.min(MAX_STATUS_CONNECTIONS, sockets / STATUS_SOCKET_DIVISOR));
    int relayed = Math.max(1, Math.min(MAX_RELAYED, sockets / RELAY_SOCKET_DIVISOR));
    int left = sockets - STATUS_PORTS * status - SOCKETS_PER_RELAYED * relayed;
    long byHeap = heapBytes / CONNECTION_BYTES;
    long callers = Math.max(1, Math.min(byHeap, left / SOCKETS_PER_CALLER));
    long headMemory = ConnectionLimits.headMemoryBytes(heapBytes);
    return new IntakeLimits(
        new ConnectionLimits(
            (int) callers,
            ConnectionLimits.DEFAULT_MAX_HEAD_BYTES,
            headMemory,
            Math.max(MIN_RESPONSE_MEMORY_BYTES, heapBytes / RESPONSE_HEAP_DIVISOR)),
        new ConnectionLimits(status, STATUS_HEAD_BYTES, ConnectionLimits.MIN_HEAD_MEMORY_BYTES),
        new ConnectionLimits(
            relayed,
            RelayedConnection.MAX_HEAD_BYTES,
            // Each request that is passed on counts a buffer, beside the heads that lack their end.
            ConnectionLimits.MIN_HEAD_MEMORY_BYTES
                + (long) relayed * ConnectionRegister.READ_BUFFER_BYTES),
        Math.max(minBodyMemoryBytes(), heapBytes / BODY_HEAP_DIVISOR));
  }
}
