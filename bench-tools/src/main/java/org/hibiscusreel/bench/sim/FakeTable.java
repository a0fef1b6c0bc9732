package org.hibiscusreel.bench.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** In-memory table service with outages, lost responses and writes that take effect late. */
public final class FakeTable {

  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long LATE_EFFECT_MILLIS = 5_000;

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private boolean down;
  private double lostResponses;
  private double lateEffects;
  private long slowMillis;
  private long writes;
  private long reads;

  /**
   * Creates an empty table.
   *
   * @param time the virtual clock
   * @param links links to the failure domains
   * @param random decides which calls a fault hits
   */
  public FakeTable(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Refuses all calls while true. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Share of transactions whose response is lost after they took effect, 0 to 1. */
  public void setLostResponses(double share) {
    lostResponses = share;
  }

  /** Share of transactions that take effect only after the caller gave up waiting, 0 to 1. */
  public void setLateEffects(double share) {
    lateEffects = share;
  }

  /** Delay added to each call, in milliseconds. */
  public void setSlowMillis(long millis) {
    slowMillis = millis;
  }

  /** Returns the number of transactions received. */
  public long writes() {
    return writes;
  }

  /** Returns the number of reads and scans received. */
  public long reads() {
    return reads;
  }

  /**
   * Returns all rows with a prefix.
   *
   * @param prefix prefix of the keys
   * @return the rows in key order
   */
  public List<Row> rows(String prefix) {
    return new ArrayList<>(rows.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /**
   * Writes a row as an operator or a test does, without any fault.
   *
   * @param key the key
   * @param value JSON text
   */
  public void put(String key, String value) {
    apply(List.of(Mutation.put(key, value)));
  }

  /**
   * Returns the table as one process reaches it.
   *
   * @param scope the process
   * @param end failure domain of the process
   * @return a client
   */
  public TableService client(ProcessScope scope, String end) {
    return new Client(scope, end);
  }

  private WriteResult apply(List<Mutation> mutations) {
    List<Row> conflicts = new ArrayList<>();
    for (Mutation m : mutations) {
      Row r = rows.getOrDefault(m.key(), new Row(m.key(), 0, ""));
      if (!holds(m.expect(), r)) {
        conflicts.add(r);
      }
    }
    if (!conflicts.isEmpty()) {
      return new WriteResult.Conflict(conflicts);
    }
    List<Long> versions = new ArrayList<>();
    for (Mutation m : mutations) {
      versions.add(change(m));
    }
    return new WriteResult.Committed(versions);
  }

  private static boolean holds(Mutation.Expect expect, Row row) {
    if (expect instanceof Mutation.Expect.Version v) {
      return row.version() == v.version();
    }
    return expect instanceof Mutation.Expect.Any || row.version() == 0;
  }

  private long change(Mutation m) {
    Row old = rows.get(m.key());
    long version = old == null ? 0 : old.version();
    if (m.change() instanceof Mutation.Change.Put p) {
      rows.put(m.key(), new Row(m.key(), version + 1, p.value()));
      return version + 1;
    }
    if (m.change() instanceof Mutation.Change.Delete) {
      rows.remove(m.key());
      return 0;
    }
    return version;
  }

  private ReadResult scanNow(String prefix, String after, int limit) {
    List<Row> found = new ArrayList<>();
    for (Row r : rows(prefix)) {
      if (r.key().compareTo(after) <= 0) {
        continue;
      }
      if (found.size() == limit) {
        return new ReadResult.Rows(found, true);
      }
      found.add(r);
    }
    return new ReadResult.Rows(found, false);
  }

  private ReadResult readNow(List<String> keys) {
    List<Row> found = new ArrayList<>();
    for (String k : keys) {
      Row r = rows.get(k);
      if (r != null) {
        found.add(r);
      }
    }
    return new ReadResult.Rows(found, false);
  }

  private final class Client implements TableService {

    private final ProcessScope scope;
    private final String end;

    Client(ProcessScope scope, String end) {
      this.scope = scope;
      this.end = end;
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      if (mutations.isEmpty() || mutations.size() > MAX_ROWS) {
        throw new IllegalArgumentException("a transaction needs 1 to 100 rows");
      }
      CompletableFuture<WriteResult> f = new CompletableFuture<>();
      List<Mutation> copy = List.copyOf(mutations);
      time.schedule(links.delayMillis() + slowMillis, () -> arrive(copy, f));
      return f;
    }

    private void arrive(List<Mutation> mutations, CompletableFuture<WriteResult> f) {
      if (links.isCut(end, Links.PLATFORM)) {
        answer(f, TIMEOUT_MILLIS, new WriteResult.Unknown("timeout"));
        return;
      }
      if (down) {
        answer(f, links.delayMillis(), new WriteResult.NotApplied("status 503"));
        return;
      }
      writes++;
      if (random.nextDouble() < lateEffects) {
        time.schedule(LATE_EFFECT_MILLIS, () -> apply(mutations));
        answer(f, TIMEOUT_MILLIS, new WriteResult.Unknown("timeout"));
        return;
      }
      WriteResult r = apply(mutations);
      if (random.nextDouble() < lostResponses) {
        answer(f, TIMEOUT_MILLIS, new WriteResult.Unknown("timeout"));
      } else {
        answer(f, links.delayMillis(), r);
      }
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      List<String> copy = List.copyOf(keys);
      return get(() -> readNow(copy));
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return get(() -> scanNow(prefix, after, limit));
    }

    private CompletableFuture<ReadResult> get(Supplier<ReadResult> query) {
      CompletableFuture<ReadResult> f = new CompletableFuture<>();
      time.schedule(
          links.delayMillis() + slowMillis,
          () -> {
            if (links.isCut(end, Links.PLATFORM)) {
              answer(f, TIMEOUT_MILLIS, new ReadResult.Failed("timeout"));
            } else if (down) {
              answer(f, links.delayMillis(), new ReadResult.Failed("status 503"));
            } else {
              reads++;
              answer(f, links.delayMillis(), query.get());
            }
          });
      return f;
    }

    private <T> void answer(CompletableFuture<T> f, long delay, T result) {
      time.schedule(delay, () -> scope.deliver(() -> f.complete(result)));
    }
  }
}
