package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.platform.ObservedStoreEra;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/**
 * In-memory store with change feeds that can be restored from an older copy of itself. One counter
 * gives the versions of all rows. A restoration takes the counter back, so that versions are given
 * out again, and each response names the era, which rises with it.
 */
public final class RestorableStore {

  private static final long TIMEOUT_MILLIS = 1_500;
  private static final long MAX_DELAY_MILLIS = 8;
  private static final long MIN_LATE_MILLIS = 1_000;
  private static final int MAX_LATE_MILLIS = 5_000;
  private static final long POLL_STEP_MILLIS = 20;

  /** One change of a row; the value is empty if the row was removed. */
  private record Entry(long atMillis, long version, String key, Optional<String> value) {}

  private final VirtualTime time;
  private final Random random;
  private final List<Entry> log = new ArrayList<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;
  private long era = 1;
  private boolean isDown;
  private double lateWriteProbability;
  private double slowResponseProbability;

  /**
   * Creates an empty store.
   *
   * @param time the virtual clock
   * @param random source of randomness for the faults
   */
  public RestorableStore(VirtualTime time, Random random) {
    this.time = time;
    this.random = random;
  }

  /** Sets whether the connections of all calls are reset. */
  public void setDown(boolean value) {
    isDown = value;
  }

  /** Sets the probability, 0 to 1, that a write has no response and is performed seconds later. */
  public void setLateWriteProbability(double probability) {
    lateWriteProbability = probability;
  }

  /** Sets the probability, 0 to 1, that a response takes up to the timeout of its call. */
  public void setSlowResponseProbability(double probability) {
    slowResponseProbability = probability;
  }

  /**
   * Takes back all changes that are younger than an age and begins the next era.
   *
   * @param ageMillis age of the copy in milliseconds
   */
  public void restore(long ageMillis) {
    final long copiedAtMillis = time.nowMillis() - ageMillis;
    log.removeIf(e -> e.atMillis() > copiedAtMillis);
    rows.clear();
    version = 0;
    log.forEach(this::perform);
    era++;
  }

  /**
   * Writes or removes a row, unaffected by faults, as the operator and the upstreams do.
   *
   * @param key key of the row
   * @param value value of the row, or empty to remove it
   */
  public void write(String key, Optional<String> value) {
    append(version + 1, key, value);
  }

  private void append(long newVersion, String key, Optional<String> value) {
    Entry entry = new Entry(time.nowMillis(), newVersion, key, value);
    log.add(entry);
    perform(entry);
  }

  private void perform(Entry e) {
    version = e.version();
    e.value()
        .ifPresentOrElse(
            v -> rows.put(e.key(), new Row(e.key(), e.version(), v)), () -> rows.remove(e.key()));
  }

  /**
   * Returns a client of the store for one process.
   *
   * @param process process that uses the client
   * @param namesEra whether the process hears of the era
   * @return the client
   */
  public Client client(SimulatedProcess process, boolean namesEra) {
    return new Client(process, namesEra);
  }

  private Row current(String key) {
    return rows.getOrDefault(key, new Row(key, 0, ""));
  }

  private boolean holds(Mutation m) {
    long now = current(m.key()).version();
    if (m.expect() instanceof Mutation.Expect.Version v) {
      return now == v.version();
    }
    return m.expect() instanceof Mutation.Expect.Any || now == 0;
  }

  private WriteResult apply(List<Mutation> mutations) {
    List<Row> conflicts =
        mutations.stream().filter(m -> !holds(m)).map(m -> current(m.key())).toList();
    if (!conflicts.isEmpty()) {
      return new WriteResult.Conflict(conflicts);
    }
    final long next = version + 1;
    List<Long> versions = new ArrayList<>();
    for (Mutation m : mutations) {
      if (m.change() instanceof Mutation.Change.Put p) {
        append(next, m.key(), Optional.of(p.value()));
      } else if (m.change() instanceof Mutation.Change.Delete) {
        append(next, m.key(), Optional.empty());
      }
      versions.add(next);
    }
    return new WriteResult.Committed(versions);
  }

  /** Client of one process. */
  public final class Client implements TableService, ChangeFeed, StoreClock {

    private final SimulatedProcess process;
    private final boolean namesEra;
    private final ObservedStoreEra observed = new ObservedStoreEra();
    private final long firstCallMillis = time.nowMillis();

    private Client(SimulatedProcess process, boolean namesEra) {
      this.process = process;
      this.namesEra = namesEra;
    }

    @Override
    public long era() {
      return observed.current();
    }

    @Override
    public long millis() {
      return time.nowMillis();
    }

    @Override
    public long firstCallMillis() {
      return firstCallMillis;
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      boolean isLate = random.nextDouble() < lateWriteProbability;
      return call(
          new WriteResult.Unknown("no response"),
          () -> {
            if (isLate) {
              long delayMillis = MIN_LATE_MILLIS + random.nextInt(MAX_LATE_MILLIS);
              time.schedule(delayMillis, () -> apply(mutations));
              return Optional.empty();
            }
            return Optional.of(apply(mutations));
          });
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return call(
          new ReadResult.Failed("no response"),
          () ->
              Optional.of(
                  new ReadResult.Rows(
                      keys.stream().filter(rows::containsKey).map(rows::get).toList(), false)));
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return call(
          new ReadResult.Failed("no response"),
          () -> {
            List<Row> found =
                rows.values().stream()
                    .filter(r -> r.key().startsWith(prefix) && r.key().compareTo(after) > 0)
                    .toList();
            return Optional.of(
                new ReadResult.Rows(found.stream().limit(limit).toList(), found.size() > limit));
          });
    }

    @Override
    public CompletableFuture<Result> readAll(String table) {
      return call(
          new Result.Failed("no response"),
          () ->
              Optional.of(
                  new Result.Changes(
                      rows.values().stream()
                          .filter(r -> r.key().startsWith(table + "//"))
                          .map(r -> toChange(table, r.key(), Optional.of(r.value())))
                          .toList(),
                      version)));
    }

    @Override
    public CompletableFuture<Result> poll(String table, long position, long waitMillis) {
      CompletableFuture<Result> result = new CompletableFuture<>();
      poll(table, position, time.nowMillis() + waitMillis, result);
      return result;
    }

    private void poll(
        String table, long position, long untilMillis, CompletableFuture<Result> result) {
      boolean isChanged =
          log.stream().anyMatch(e -> e.version() > position && e.key().startsWith(table + "//"));
      if (isDown || position > version || isChanged || time.nowMillis() >= untilMillis) {
        var unused =
            call(new Result.Failed("reset"), () -> Optional.of(changes(table, position)))
                .thenAccept(result::complete);
      } else {
        time.schedule(POLL_STEP_MILLIS, () -> poll(table, position, untilMillis, result));
      }
    }

    private Result changes(String table, long position) {
      if (position > version) {
        return new Result.HistoryLost();
      }
      return new Result.Changes(
          log.stream()
              .filter(e -> e.version() > position && e.key().startsWith(table + "//"))
              .map(e -> toChange(table, e.key(), e.value()))
              .toList(),
          version);
    }

    private Change toChange(String table, String key, Optional<String> value) {
      return new Change(key.substring(table.length() + 2), value);
    }

    /** Performs a call after a delay; an empty response is lost. */
    private <T> CompletableFuture<T> call(T failure, Supplier<Optional<T>> action) {
      CompletableFuture<T> future = new CompletableFuture<>();
      time.schedule(
          delayMillis(),
          () -> {
            if (isDown) {
              deliver(1, () -> future.complete(failure));
              return;
            }
            final long named = era;
            Optional<T> response = action.get();
            boolean isSlow = random.nextDouble() < slowResponseProbability;
            long delay = isSlow ? random.nextInt((int) TIMEOUT_MILLIS) : delayMillis();
            deliver(
                response.isEmpty() ? TIMEOUT_MILLIS : delay,
                () -> future.complete(response.filter(r -> isCurrent(named)).orElse(failure)));
          });
      return future;
    }

    private boolean isCurrent(long named) {
      return !namesEra || observed.observe(OptionalLong.of(named));
    }

    private void deliver(long delayMillis, Runnable response) {
      time.schedule(delayMillis, () -> process.deliver(response));
    }

    private long delayMillis() {
      return 1L + random.nextInt((int) MAX_DELAY_MILLIS);
    }
  }
}
