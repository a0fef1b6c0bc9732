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
import org.hibiscusreel.ctl.platform.PlatformClient;

/**
 * Context of a command run: the platform client, which is created on first use, and the output
 * streams.
 */
public final class CommandContext implements AutoCloseable {

  private static final int SCAN_PAGE_ROWS = 500;
  private static final long RETRY_DELAY_MILLIS = 200;

  private final Supplier<PlatformClient> connector;
  private final PrintStream out;
  private final PrintStream err;
  private PlatformClient platform;

  /**
   * Creates a context.
   *
   * @param connector creates the platform client
   * @param out receives results
   * @param err receives messages
   * @throws NullPointerException if an argument is null
   */
  public CommandContext(Supplier<PlatformClient> connector, PrintStream out, PrintStream err) {
    this.connector = Objects.requireNonNull(connector, "connector");
    this.out = Objects.requireNonNull(out, "out");
    this.err = Objects.requireNonNull(err, "err");
  }

  /**
   * Returns the platform client.
   *
   * @return the client
   */
  public PlatformClient platform() {
    if (platform == null) {
      platform = connector.get();
    }
    return platform;
  }

  /**
   * Prints a line of the result to standard output.
   *
   * @param line the text
   */
  public void print(String line) {
    out.println(line);
  }

  /**
   * Prints a message to standard error.
   *
   * @param line the text
   */
  public void printMessage(String line) {
    err.println(line);
  }

  /**
   * Waits for the result of a future.
   *
   * @param future the future
   * @param <T> type of the result
   * @return the result
   */
  public <T> T await(CompletableFuture<T> future) {
    return future.join();
  }

  /** Waits before a failed write is retried. */
  public void waitBeforeRetry() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    platform().scheduler().schedule(RETRY_DELAY_MILLIS, () -> done.complete(null));
    await(done);
  }

  /**
   * Reads one row.
   *
   * @param key key of the row
   * @return the row, or empty if it is absent
   * @throws CommandException if the platform is unreachable
   */
  public Optional<Row> read(String key) {
    ReadResult result = await(platform().table().read(List.of(key)));
    if (result instanceof ReadResult.Rows rows) {
      return rows.rows().stream().findFirst();
    }
    throw CommandException.platformUnreachable(((ReadResult.Failed) result).reason());
  }

  /**
   * Reads all rows whose key has a prefix.
   *
   * @param prefix prefix of the keys
   * @return the rows in key order
   * @throws CommandException if the platform is unreachable
   */
  public List<Row> scan(String prefix) {
    List<Row> rows = new ArrayList<>();
    String after = "";
    boolean more = true;
    while (more) {
      ReadResult result = await(platform().table().scan(prefix, after, SCAN_PAGE_ROWS));
      if (!(result instanceof ReadResult.Rows page)) {
        throw CommandException.platformUnreachable(((ReadResult.Failed) result).reason());
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
   * @return the content of the file
   * @throws CommandException if the file can't be read
   */
  public String readFile(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw CommandException.usageError("the file " + file + " can't be read: " + e.getMessage());
    }
  }

  /** Closes the platform client if it was created. */
  @Override
  public void close() {
    if (platform != null) {
      platform.close();
    }
  }
}
