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
 * Writes decisions as JSON lines on a dedicated thread. When the output blocks and the queue is
 * full, further lines are dropped and counted, so that recording a decision never blocks.
 */
public final class JsonDecisionLog implements DecisionLog {

  /** Largest number of queued lines; a line has a few hundred bytes. */
  static final int MAX_QUEUED_LINES = 2_000;

  private static final long STOP_TIMEOUT_MILLIS = 500;

  /** Age of what was never known; its field is left out. */
  private static final Long UNKNOWN_AGE = Long.MAX_VALUE;

  private final ObjectMapper mapper = new ObjectMapper();
  private final BlockingQueue<Map<String, Object>> queue =
      new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
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
   * @param incarnation identifier of this run of the daemon, written to each line
   * @param wallMillis supplies the wall-clock time in milliseconds since the epoch
   * @throws NullPointerException if an argument is null
   */
  public JsonDecisionLog(PrintStream out, String incarnation, LongSupplier wallMillis) {
    this.out = Objects.requireNonNull(out, "out");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis");
    this.writer = new Thread(this::writeLines, "decision-log");
    this.writer.setDaemon(true);
  }

  /** Starts the writer thread. */
  public void start() {
    writer.start();
  }

  /** Stops the writer thread and waits for it to write the queued lines, at most half a second. */
  public void stop() {
    stopped = true;
    writer.interrupt();
    try {
      writer.join(STOP_TIMEOUT_MILLIS);
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
    line.values().removeIf(UNKNOWN_AGE::equals);
    if (!queue.offer(line)) {
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
        write(queue.take());
      } catch (InterruptedException e) {
        // Only stop() interrupts this thread; the queued lines are written below.
        break;
      }
    }
    for (Map<String, Object> line = queue.poll(); line != null; line = queue.poll()) {
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
