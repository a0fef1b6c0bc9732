package org.hibiscusreel.bench.streams;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.coordination.platform.ObservedStoreClock;
import org.hibiscusreel.coordination.platform.ObservedStoreEra;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.StoreClock;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** Store with linearizable calls and a feed of the changes. */
final class ModelStore {

  /** Name of the table with the configuration. */
  static final String CONFIGURATION = "op";

  /** Name of the table with the upstreams. */
  static final String UPSTREAMS = "servers";

  private static final long CALL_TIMEOUT_MILLIS = 1_500;
  private static final long FEED_TIMEOUT_MILLIS = 10_000;
  private static final long START_MILLIS = 5_000_000;

  private record Entry(long atMillis, long version, String key, Optional<String> value) {}

  private record Poll(StoreLink link, String table, long position, Runnable answer) {}

  private final VirtualTime time;
  private final SplittableRandom random;
  private final boolean isNewestOnly;
  private final boolean namesEra;
  private final List<Entry> log = new ArrayList<>();
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Poll> polls = new ArrayList<>();
  private long version;
  private long discarded; // version up to which the history is lost
  private long era = 1;
  private double lateWriteProbability;

  /**
   * Creates an empty store.
   *
   * @param time the virtual clock
   * @param random source of randomness
   * @param isNewestOnly whether the feed has only the newest change of each row
   * @param namesEra whether responses name the era
   */
  ModelStore(VirtualTime time, SplittableRandom random, boolean isNewestOnly, boolean namesEra) {
    this.time = time;
    this.random = random;
    this.isNewestOnly = isNewestOnly;
    this.namesEra = namesEra;
  }

  /** Sets the probability that a write has no response and is performed seconds later. */
  void setLateWriteProbability(double probability) {
    lateWriteProbability = probability;
  }

  /** Discards the history. */
  void discardHistory() {
    discarded = version;
  }

  /** Returns to the state of an earlier time and begins the next era. */
  void restore(long ageMillis) {
    long copiedAtMillis = time.nowMillis() - ageMillis;
    log.removeIf(e -> e.atMillis() > copiedAtMillis);
    rows.clear();
    version = 0;
    log.forEach(this::perform);
    discarded = Math.min(discarded, version);
    era++;
    answerPolls();
  }

  /** Writes or removes a row, unaffected by faults. */
  void write(String key, Optional<String> value) {
    append(version + 1, key, value);
    answerPolls();
  }

  Optional<String> value(String key) {
    return Optional.ofNullable(rows.get(key)).map(Row::value);
  }

  List<Row> rows(String prefix) {
    return List.copyOf(rows.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  private void append(long newVersion, String key, Optional<String> value) {
    Entry entry = new Entry(time.nowMillis(), newVersion, key, value);
    log.add(entry);
    perform(entry);
  }

  private void perform(Entry e) {
    version = e.version();
    if (e.value().isPresent()) {
      rows.put(e.key(), new Row(e.key(), e.version(), e.value().get()));
    } else {
      rows.remove(e.key());
    }
  }

  private boolean isChanged(String table, long position) {
    for (int i = log.size() - 1; i >= 0 && log.get(i).version() > position; i--) {
      if (log.get(i).key().startsWith(table + "//")) {
        return true;
      }
    }
    return false;
  }

  private void answerPolls() {
    for (Poll p : List.copyOf(polls)) {
      if (isDue(p)) {
        polls.remove(p);
        p.answer().run();
      }
    }
  }

  private boolean isDue(Poll p) {
    return p.position() > version || p.position() < discarded || isChanged(p.table(), p.position());
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
    answerPolls();
    return new WriteResult.Committed(versions);
  }

  private ChangeFeed.Result changes(String table, long position) {
    if (position > version || position < discarded) {
      return new ChangeFeed.Result.HistoryLost();
    }
    Map<String, ChangeFeed.Change> newest = new LinkedHashMap<>();
    List<ChangeFeed.Change> all = new ArrayList<>();
    for (Entry e : log) {
      if (e.version() > position && e.key().startsWith(table + "//")) {
        ChangeFeed.Change c =
            new ChangeFeed.Change(e.key().substring(table.length() + 2), e.value());
        all.add(c);
        newest.remove(c.key());
        newest.put(c.key(), c);
      }
    }
    return new ChangeFeed.Result.Changes(
        isNewestOnly ? List.copyOf(newest.values()) : all, version);
  }

  private static StoreLink.Part part(String table) {
    return table.equals(CONFIGURATION) ? StoreLink.Part.CONFIGURATION : StoreLink.Part.UPSTREAMS;
  }

  /** Ends the waiting polls of a host whose connections were reset. */
  void breakPolls(StoreLink link) {
    List<Poll> broken = polls.stream().filter(p -> p.link().equals(link)).toList();
    polls.removeAll(broken);
    broken.forEach(p -> p.answer().run());
  }

  /** What the store says with each response. */
  private record Response<T>(T result, long storeMillis, long era) {}

  private <T> Response<T> respond(T result) {
    return new Response<>(result, START_MILLIS + time.nowMillis(), era);
  }

  /** Client of one process. */
  final class Client implements TableService, ChangeFeed {

    private final ModelProcess process;
    private final StoreLink link;
    private final ObservedStoreEra observedEra = new ObservedStoreEra();
    private final ObservedStoreClock clock;

    Client(ModelProcess process, StoreLink link) {
      this.process = process;
      this.link = link;
      this.clock = new ObservedStoreClock(process::nowMillis);
    }

    StoreClock clock() {
      return clock;
    }

    @Override
    public long era() {
      return observedEra.current();
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      List<Mutation> copy = List.copyOf(mutations);
      boolean isLate = random.nextDouble() < lateWriteProbability;
      long lateMillis = 500L + random.nextInt(4_000);
      long calledAtMillis = clock.beginCall();
      Pending<WriteResult> call =
          new Pending<>(
              StoreLink.Part.ROWS,
              CALL_TIMEOUT_MILLIS,
              new WriteResult.Unknown("no response"),
              calledAtMillis);
      if (link.state() == StoreLink.State.REFUSED) {
        call.failLater(new WriteResult.NotApplied("status 503"));
      } else {
        link.carry(
            StoreLink.Part.ROWS,
            () -> {
              if (isLate) {
                time.schedule(lateMillis, () -> apply(copy));
              } else {
                call.perform(() -> apply(copy));
              }
            });
      }
      return call.future;
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      List<String> copy = List.copyOf(keys);
      return query(
          () ->
              new ReadResult.Rows(
                  copy.stream().filter(rows::containsKey).map(rows::get).toList(), false));
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return query(
          () -> {
            List<Row> found =
                rows.subMap(prefix, prefix + Character.MAX_VALUE).values().stream()
                    .filter(r -> r.key().compareTo(after) > 0)
                    .limit(limit + 1L)
                    .toList();
            return new ReadResult.Rows(found.stream().limit(limit).toList(), found.size() > limit);
          });
    }

    private CompletableFuture<ReadResult> query(Supplier<ReadResult> query) {
      Pending<ReadResult> call =
          new Pending<>(
              StoreLink.Part.ROWS,
              CALL_TIMEOUT_MILLIS,
              new ReadResult.Failed("no response"),
              Long.MIN_VALUE);
      link.carry(StoreLink.Part.ROWS, () -> call.perform(query));
      return call.future;
    }

    @Override
    public CompletableFuture<Result> readAll(String table) {
      Pending<Result> call =
          new Pending<>(
              part(table), FEED_TIMEOUT_MILLIS, new Result.Failed("no response"), Long.MIN_VALUE);
      link.carry(
          call.part,
          () ->
              call.perform(
                  () ->
                      new Result.Changes(
                          rows(table + "//").stream()
                              .map(
                                  r ->
                                      new Change(
                                          r.key().substring(table.length() + 2),
                                          Optional.of(r.value())))
                              .toList(),
                          version)));
      return call.future;
    }

    @Override
    public CompletableFuture<Result> poll(String table, long position, long waitMillis) {
      Pending<Result> call =
          new Pending<>(
              part(table),
              waitMillis + FEED_TIMEOUT_MILLIS,
              new Result.Failed("no response"),
              Long.MIN_VALUE);
      link.carry(call.part, () -> await(call, table, position, waitMillis));
      return call.future;
    }

    private void await(Pending<Result> call, String table, long position, long waitMillis) {
      Poll[] poll = new Poll[1];
      poll[0] = new Poll(link, table, position, () -> call.perform(() -> changes(table, position)));
      if (waitMillis == 0 || isDue(poll[0]) || link.isFailing()) {
        poll[0].answer().run();
        return;
      }
      polls.add(poll[0]);
      time.schedule(
          waitMillis,
          () -> {
            if (polls.remove(poll[0])) {
              poll[0].answer().run();
            }
          });
    }

    /** A call without a response yet. */
    private final class Pending<T> {
      private final CompletableFuture<T> future = new CompletableFuture<>();
      private final StoreLink.Part part;
      private final T failure;
      private final long writtenAtMillis; // time of the call if it is a write
      private final Cancellable timeout;

      Pending(StoreLink.Part part, long timeoutMillis, T failure, long writtenAtMillis) {
        this.part = part;
        this.failure = failure;
        this.writtenAtMillis = writtenAtMillis;
        this.timeout = process.schedule(timeoutMillis, () -> future.complete(failure));
        if (writtenAtMillis == Long.MIN_VALUE) {
          clock.beginCall();
        }
      }

      /** Performs the call at the store and sends the response. */
      void perform(Supplier<T> action) {
        switch (link.state()) {
          case RESET, REFUSED -> failLater(failure);
          case DEAF -> {
            var unused = action.get();
          }
          default -> {
            Response<T> response = respond(action.get());
            link.carry(part, () -> arrive(response));
          }
        }
      }

      void failLater(T result) {
        time.schedule(2, () -> process.deliver(() -> complete(result)));
      }

      private void arrive(Response<T> response) {
        switch (link.state()) {
          case RESET -> failLater(failure);
          case DEAF -> {}
          default -> process.deliver(() -> receive(response));
        }
      }

      private void receive(Response<T> response) {
        if (future.isDone()) {
          return;
        }
        OptionalLong named = namesEra ? OptionalLong.of(response.era()) : OptionalLong.empty();
        if (!observedEra.observe(named)) {
          complete(failure);
          return;
        }
        if (writtenAtMillis == Long.MIN_VALUE) {
          clock.observe(response.storeMillis());
        } else {
          clock.observeWrite(response.storeMillis(), writtenAtMillis);
        }
        complete(response.result());
      }

      private void complete(T result) {
        timeout.cancel();
        future.complete(result);
      }
    }
  }
}
