package org.hibiscusreel.testsupport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Measures a process from its entries in the {@code /proc} file system until it is closed. */
public final class ProcessWatch implements AutoCloseable {

  private static final long INTERVAL_MILLIS = 20;
  private static final String PEAK_MEMORY = "VmHWM:";
  private static final long BYTES_PER_KILOBYTE = 1024;

  private final Path directory;
  private final Thread thread;
  private volatile int peakDescriptors;
  private volatile long peakMemoryBytes;
  private volatile boolean closed;

  /**
   * Starts to measure.
   *
   * @param processId identifier of the process
   */
  public ProcessWatch(long processId) {
    this.directory = Path.of("/proc", Long.toString(processId));
    this.thread = new Thread(this::run, "process-watch");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the largest number of open descriptors that was seen. */
  public int peakDescriptors() {
    return peakDescriptors;
  }

  /** Returns the largest resident memory of the process in bytes. */
  public long peakMemoryBytes() {
    return peakMemoryBytes;
  }

  private void run() {
    try {
      while (!closed) {
        measure();
        Thread.sleep(INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The process has ended.
      return;
    }
  }

  private synchronized void measure() throws IOException {
    int count = 0;
    try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(directory.resolve("fd"))) {
      for (Path p : descriptors) {
        count += p.getNameCount() > 0 ? 1 : 0;
      }
    }
    peakDescriptors = Math.max(peakDescriptors, count);
    for (String line : Files.readAllLines(directory.resolve("status"))) {
      if (line.startsWith(PEAK_MEMORY)) {
        String kilobytes = line.substring(PEAK_MEMORY.length()).replace("kB", "").strip();
        peakMemoryBytes = Long.parseLong(kilobytes) * BYTES_PER_KILOBYTE;
      }
    }
  }

  /** Measures a last time and ends. */
  @Override
  public void close() {
    closed = true;
    try {
      measure();
    } catch (NoSuchFileException e) {
      // The process has ended; the last measurement stays.
      return;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
