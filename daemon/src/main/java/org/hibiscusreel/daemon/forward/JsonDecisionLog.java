package org.hibiscusreel.daemon.forward;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.forward.DecisionLog;

/**
 * Writes decisions as JSON lines from a thread of its own. Lines that the reader of the output does
 * not take in time are dropped and counted, so that a decision never waits for its line.
 */
public final class JsonDecisionLog implements DecisionLog {

  /** Lines that wait for the output; a line has a few hundred bytes. */
  static final int MAX_WAITING = 2_000;

  private static final long STOP_MILLIS = 500;

  private final ObjectMapper mapper = new ObjectMapper();
  private final BlockingQueue<Map<String, Object>> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final String incarnation;
  private final LongSupplier wallMillis;
  private final Thread writer;
  private volatile boolean stopped;

  /**
   * Creates a log.
   *
   * @param out receives the lines
   * @param incarnation this run of the daemon, a field of each line
   * @param wallMillis time of day in milliseconds since the epoch
   * @throws NullPointerException if an argument is null
   */
  public JsonDecisionLog(PrintStream out, String incarnation, LongSupplier wallMillis) {
    this.out = Objects.requireNonNull(out, "out");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis");
    this.writer = new Thread(this::writeLines, "decision-log");
    this.writer.setDaemon(true);
  }

  /** Starts to write. */
  public void start() {
    writer.start();
  }

  /** Writes what waits, for a short time, and stops. */
  public void stop() {
    stopped = true;
    writer.interrupt();
    try {
      writer.join(STOP_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void record(String event, Map<String, Object> fields) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("at_ms", wallMillis.getAsLong());
    line.put("incarnation", incarnation);
    line.put("event", event);
    line.putAll(fields);
    if (!waiting.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Returns the number of lines that were dropped.
   *
   * @return 0 or more
   */
  public long dropped() {
    return dropped.get();
  }

  private void writeLines() {
    while (!stopped) {
      try {
        write(waiting.take());
      } catch (InterruptedException e) {
        // Only stop() interrupts; what waits is written below.
        break;
      }
    }
    for (Map<String, Object> line = waiting.poll(); line != null; line = waiting.poll()) {
      write(line);
    }
    out.flush();
  }

  private void write(Map<String, Object> line) {
    try {
      out.println(mapper.writeValueAsString(line));
    } catch (JsonProcessingException e) {
      out.println("{\"event\":\"log_failure\",\"reason\":\"a line can't be written as JSON\"}");
    }
  }
}
