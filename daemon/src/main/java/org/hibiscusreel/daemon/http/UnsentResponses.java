package org.hibiscusreel.daemon.http;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the bytes of responses that wait until their callers read, of all connections together,
 * and decides which connections are closed so that they stay within a limit: those on which nothing
 * was sent for longest. Used only on the event loop.
 *
 * @param <C> type of the connections, each equal only to itself
 */
final class UnsentResponses<C> {

  private final long limitBytes;
  private final LinkedHashMap<C, Long> bytesByConnection = new LinkedHashMap<>();
  private long bytes;

  UnsentResponses(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the bytes of all connections. */
  long bytes() {
    return bytes;
  }

  /** Adds bytes of a response. A connection that has none yet counts as one that goes on. */
  void add(C connection, long count) {
    if (count > 0) {
      bytes += count;
      bytesByConnection.merge(connection, count, Long::sum);
    }
  }

  /** Takes away bytes that were sent, which include the framing of the response. */
  void onSent(C connection, long count) {
    Long left = bytesByConnection.remove(connection);
    if (left == null) {
      return;
    }
    long rest = Math.max(0, left - count);
    bytes -= left - rest;
    if (rest > 0) {
      bytesByConnection.put(connection, rest);
    }
  }

  /** Forgets a connection whose response was sent, or that was closed. */
  void remove(C connection) {
    Long left = bytesByConnection.remove(connection);
    bytes -= left == null ? 0 : left;
  }

  /** Returns the connections to close, none within the limit. */
  List<C> findExcess() {
    List<C> found = new ArrayList<>();
    Iterator<Map.Entry<C, Long>> all = bytesByConnection.entrySet().iterator();
    for (long left = bytes; left > limitBytes && all.hasNext(); ) {
      Map.Entry<C, Long> next = all.next();
      left -= next.getValue();
      found.add(next.getKey());
    }
    return found;
  }
}
