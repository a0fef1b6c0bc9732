package org.hibiscusreel.ctl.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.ctl.platform.Platform;

/** What one run of a command uses: the platform, connected on first use, and the output. */
public final class Session implements AutoCloseable {

  private static final int SCAN_LIMIT = 500;
  private static final long RETRY_DELAY_MILLIS = 200;

  private final Supplier<Platform> connector;
  private final PrintStream out;
  private final PrintStream err;
  private Platform platform;

  /**
   * Creates a session.
   *
   * @param connector connects to the platform
   * @param out receives results
   * @param err receives messages
   * @throws NullPointerException if an argument is null
   */
  public Session(Supplier<Platform> connector, PrintStream out, PrintStream err) {
    this.connector = Objects.requireNonNull(connector, "connector");
    this.out = Objects.requireNonNull(out, "out");
    this.err = Objects.requireNonNull(err, "err");
  }

  /**
   * Returns the platform.
   *
   * @return the platform, connected
   */
  public Platform platform() {
    if (platform == null) {
      platform = connector.get();
    }
    return platform;
  }

  /**
   * Prints a line of the result.
   *
   * @param line the text
   */
  public void print(String line) {
    out.println(line);
  }

  /**
   * Prints a message.
   *
   * @param line the text
   */
  public void warn(String line) {
    err.println(line);
  }

  /**
   * Waits for a result.
   *
   * @param future the future
   * @param <T> type of the result
   * @return the result
   */
  public <T> T await(CompletableFuture<T> future) {
    return future.join();
  }

  /** Waits a moment before a write is tried again. */
  public void pause() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    platform().scheduler().schedule(RETRY_DELAY_MILLIS, () -> done.complete(null));
    await(done);
  }

  /**
   * Reads one row.
   *
   * @param key key of the row
   * @return the row, or empty if it is absent
   * @throws CommandFailure if the platform is unreachable
   */
  public Optional<Row> read(String key) {
    ReadResult result = await(platform().table().read(List.of(key)));
    if (result instanceof ReadResult.Rows rows) {
      return rows.rows().stream().findFirst();
    }
    throw CommandFailure.unreachable(((ReadResult.Failed) result).reason());
  }

  /**
   * Reads all rows with a prefix.
   *
   * @param prefix prefix of the keys
   * @return the rows in key order
   * @throws CommandFailure if the platform is unreachable
   */
  public List<Row> scan(String prefix) {
    List<Row> rows = new ArrayList<>();
    String after = "";
    boolean more = true;
    while (more) {
      ReadResult result = await(platform().table().scan(prefix, after, SCAN_LIMIT));
      if (!(result instanceof ReadResult.Rows page)) {
        throw CommandFailure.unreachable(((ReadResult.Failed) result).reason());
      }
      rows.addAll(page.rows());
      more = page.more() && !page.rows().isEmpty();
      after = rows.isEmpty() ? "" : rows.get(rows.size() - 1).key();
    }
    return rows;
  }

  /**
   * Reads a file.
   *
   * @param file path of the file
   * @return its text
   * @throws CommandFailure if the file can't be read
   */
  public String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw CommandFailure.usage("the file " + file + " can't be read: " + e.getMessage());
    }
  }

  /** Releases the platform if it was connected. */
  @Override
  public void close() {
    if (platform != null) {
      platform.close();
    }
  }
}
