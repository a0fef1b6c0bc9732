package org.hibiscusreel.coordination.config;

import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/**
 * Publishes configurations with conditional writes, so that only one of two concurrent publishers
 * succeeds.
 */
public final class ConfigurationPublisher {

  private static final int MAX_ATTEMPTS = 6;
  private static final long RETRY_DELAY_MILLIS = 200;

  private final Scheduler scheduler;
  private final TableService table;
  private final ObjectStore objects;
  private final LongSupplier random;

  /**
   * Creates a publisher.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param objects the platform's object store
   * @param random source of random bits for the identifiers of publications
   * @throws NullPointerException if an argument is null
   */
  public ConfigurationPublisher(
      Scheduler scheduler, TableService table, ObjectStore objects, LongSupplier random) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.objects = Objects.requireNonNull(objects, "objects");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Publishes a body as the next version.
   *
   * @param body the whole configuration
   * @param author name of the publisher
   * @param note reason of the change, may be empty
   * @param expectVersion version that must be in force, 0 if none; if empty, the version that is
   *     read first
   * @return the outcome; after a lost response the same conditional write is retried, which can
   *     take effect only once
   * @throws NullPointerException if an argument is null
   */
  public CompletableFuture<PublishResult> publish(
      ConfigurationBody body, String author, String note, OptionalLong expectVersion) {
    Objects.requireNonNull(author, "author");
    Objects.requireNonNull(note, "note");
    Objects.requireNonNull(expectVersion, "expectVersion");
    if (ConfigurationCompiler.compile(body, 1) instanceof ConfigurationCompiler.Result.Invalid i) {
      return CompletableFuture.completedFuture(new PublishResult.Invalid(i.errors()));
    }
    return table
        .read(List.of(TableKeys.CONFIG_HEAD))
        .thenCompose(
            result -> {
              if (!(result instanceof ReadResult.Rows rows)) {
                return unavailable(((ReadResult.Failed) result).reason());
              }
              Row row =
                  rows.rows().isEmpty()
                      ? new Row(TableKeys.CONFIG_HEAD, 0, "")
                      : rows.rows().get(0);
              ConfigurationHead head;
              try {
                head = headOf(row);
              } catch (IllegalStateException e) {
                return unavailable(e.getMessage());
              }
              if (expectVersion.isPresent() && expectVersion.getAsLong() != head.version()) {
                return completed(new PublishResult.Conflict(head));
              }
              return storeBody(row, head, body, author, note);
            });
  }

  /**
   * Reads a head row.
   *
   * @param row the row, absent if its version is 0
   * @return the head; version 0 if nothing was published
   * @throws IllegalStateException if the row is malformed
   */
  static ConfigurationHead headOf(Row row) {
    if (row.version() == 0) {
      return new ConfigurationHead(0, "");
    }
    try {
      return Json.read(row.value(), ConfigurationHead.class);
    } catch (UncheckedIOException e) {
      throw new IllegalStateException("the row " + row.key() + " is malformed", e);
    }
  }

  private CompletableFuture<PublishResult> storeBody(
      Row row, ConfigurationHead head, ConfigurationBody body, String author, String note) {
    byte[] bytes = body.toBytes();
    ConfigurationVersion next =
        new ConfigurationVersion(
            head.version() + 1,
            author,
            note,
            scheduler.wallMillis(),
            ConfigurationBody.digest(bytes),
            Long.toHexString(random.getAsLong()) + Long.toHexString(random.getAsLong()));
    String key = ConfigurationBody.objectKey(next.digest());
    return objects
        .put(key, bytes)
        .thenCompose(
            certain -> certain ? CompletableFuture.completedFuture(true) : isStored(key, bytes))
        .thenCompose(
            stored ->
                stored
                    ? commit(row, next, 1, false)
                    : unavailable("the object store did not confirm the configuration"));
  }

  private CompletableFuture<Boolean> isStored(String key, byte[] bytes) {
    return objects
        .get(key)
        .thenApply(
            result ->
                result instanceof ObjectStore.GetResult.Found found
                    && Arrays.equals(found.body(), bytes));
  }

  private CompletableFuture<PublishResult> commit(
      Row row, ConfigurationVersion next, int attempt, boolean maybeApplied) {
    String head = Json.write(new ConfigurationHead(next.version(), next.digest()));
    List<Mutation> mutations =
        List.of(
            Mutation.replace(TableKeys.CONFIG_HEAD, row.version(), head),
            Mutation.insert(TableKeys.configVersion(next.version()), Json.write(next)));
    return table
        .transact(mutations)
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Committed) {
                return completed(new PublishResult.Published(next.version(), next.digest()));
              }
              if (result instanceof WriteResult.Conflict) {
                return readBack(next, attempt, maybeApplied);
              }
              boolean unknown = result instanceof WriteResult.Unknown;
              String reason =
                  result instanceof WriteResult.Unknown u
                      ? u.reason()
                      : ((WriteResult.NotApplied) result).reason();
              return retry(row, next, attempt, maybeApplied || unknown, reason);
            });
  }

  private CompletableFuture<PublishResult> retry(
      Row row, ConfigurationVersion next, int attempt, boolean maybeApplied, String reason) {
    if (attempt >= MAX_ATTEMPTS) {
      return maybeApplied
          ? completed(new PublishResult.Unknown(next.version(), reason))
          : unavailable(reason);
    }
    return delay().thenCompose(done -> commit(row, next, attempt + 1, maybeApplied));
  }

  /**
   * Resolves a conflict, which means that the head has changed: by this publication if the response
   * to an earlier attempt was lost.
   */
  private CompletableFuture<PublishResult> readBack(
      ConfigurationVersion next, int attempt, boolean maybeApplied) {
    String versionKey = TableKeys.configVersion(next.version());
    return table
        .read(List.of(TableKeys.CONFIG_HEAD, versionKey))
        .thenCompose(
            result -> {
              if (result instanceof ReadResult.Rows rows) {
                return completed(resolve(next, rows.rows()));
              }
              String reason = ((ReadResult.Failed) result).reason();
              if (attempt >= MAX_ATTEMPTS) {
                return maybeApplied
                    ? completed(new PublishResult.Unknown(next.version(), reason))
                    : unavailable(reason);
              }
              return delay().thenCompose(done -> readBack(next, attempt + 1, maybeApplied));
            });
  }

  private static PublishResult resolve(ConfigurationVersion next, List<Row> rows) {
    ConfigurationHead head = new ConfigurationHead(0, "");
    for (Row row : rows) {
      if (row.key().equals(TableKeys.CONFIG_HEAD)) {
        head = headOf(row);
      } else if (Json.read(row.value(), ConfigurationVersion.class)
          .publication()
          .equals(next.publication())) {
        return new PublishResult.Published(next.version(), next.digest());
      }
    }
    return new PublishResult.Conflict(head);
  }

  private CompletableFuture<Void> delay() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    scheduler.schedule(RETRY_DELAY_MILLIS, () -> done.complete(null));
    return done;
  }

  private static CompletableFuture<PublishResult> completed(PublishResult result) {
    return CompletableFuture.completedFuture(result);
  }

  private static CompletableFuture<PublishResult> unavailable(String reason) {
    return completed(new PublishResult.Unavailable(reason));
  }
}
