package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    this.out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
  }

  /** Returns the milliseconds since the start of the record. */
  long now() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void add(String format, Object... values) {
    out.println(String.format("%8d ", now()) + String.format(format, values));
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
