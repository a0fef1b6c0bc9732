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

/** In-memory table service that can simulate outages, delays, lost responses and late writes. */
public final class FakeTable {

  /** Time after which a client gives up waiting for a response. */
  private static final long TIMEOUT_MILLIS = 2_000;

  /** Time until a late write takes effect, longer than the timeout of the client. */
  private static final long LATE_WRITE_DELAY_MILLIS = 5_000;

  private final VirtualTime time;
  private final Links links;
  private final Random random;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private boolean down;
  private double lostResponseProbability;
  private double lateWriteProbability;
  private long addedDelayMillis;
  private long writes;
  private long reads;

  /**
   * Creates an empty table.
   *
   * @param time the virtual clock
   * @param links links between the failure domains and the platform
   * @param random source of randomness for the faults
   */
  public FakeTable(VirtualTime time, Links links, Random random) {
    this.time = time;
    this.links = links;
    this.random = random;
  }

  /** Sets whether all calls are refused. */
  public void setDown(boolean value) {
    down = value;
  }

  /** Sets the probability, 0 to 1, that the response of an applied transaction is lost. */
  public void setLostResponseProbability(double probability) {
    lostResponseProbability = probability;
  }

  /** Sets the probability, 0 to 1, that a transaction takes effect after its client timed out. */
  public void setLateWriteProbability(double probability) {
    lateWriteProbability = probability;
  }

  /** Sets the delay added to each call, in milliseconds. */
  public void setAddedDelayMillis(long millis) {
    addedDelayMillis = millis;
  }

  /** Returns the number of transactions received and not refused. */
  public long writes() {
    return writes;
  }

  /** Returns the number of reads and scans received and not refused. */
  public long reads() {
    return reads;
  }

  /**
   * Returns all rows whose keys start with a prefix.
   *
   * @param prefix prefix of the keys
   * @return the rows in key order
   */
  public List<Row> rows(String prefix) {
    return new ArrayList<>(rows.subMap(prefix, prefix + Character.MAX_VALUE).values());
  }

  /**
   * Writes a row directly, unaffected by faults.
   *
   * @param key key of the row
   * @param value JSON text
   */
  public void put(String key, String value) {
    apply(List.of(Mutation.put(key, value)));
  }

  /**
   * Returns a client of the table for one process.
   *
   * @param process process that uses the client
   * @param domain failure domain of the process
   * @return the client
   */
  public TableService client(SimulatedProcess process, String domain) {
    return new Client(process, domain);
  }

  private WriteResult apply(List<Mutation> mutations) {
    List<Row> conflicts = new ArrayList<>();
    for (Mutation m : mutations) {
      Row r = rows.getOrDefault(m.key(), new Row(m.key(), 0, ""));
      if (!isSatisfied(m.expect(), r)) {
        conflicts.add(r);
      }
    }
    if (!conflicts.isEmpty()) {
      return new WriteResult.Conflict(conflicts);
    }
    List<Long> versions = new ArrayList<>();
    for (Mutation m : mutations) {
      versions.add(applyMutation(m));
    }
    return new WriteResult.Committed(versions);
  }

  private static boolean isSatisfied(Mutation.Expect expect, Row row) {
    if (expect instanceof Mutation.Expect.Version v) {
      return row.version() == v.version();
    }
    return expect instanceof Mutation.Expect.Any || row.version() == 0;
  }

  private long applyMutation(Mutation m) {
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

    private final SimulatedProcess process;
    private final String domain;

    Client(SimulatedProcess process, String domain) {
      this.process = process;
      this.domain = domain;
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      if (mutations.isEmpty() || mutations.size() > MAX_ROWS) {
        throw new IllegalArgumentException("a transaction needs 1 to 100 rows");
      }
      CompletableFuture<WriteResult> future = new CompletableFuture<>();
      List<Mutation> copy = List.copyOf(mutations);
      time.schedule(links.delayMillis() + addedDelayMillis, () -> handleTransaction(copy, future));
      return future;
    }

    private void handleTransaction(
        List<Mutation> mutations, CompletableFuture<WriteResult> future) {
      if (links.isCut(domain, Links.PLATFORM)) {
        respond(future, TIMEOUT_MILLIS, new WriteResult.Unknown("timeout"));
        return;
      }
      if (down) {
        respond(future, links.delayMillis(), new WriteResult.NotApplied("status 503"));
        return;
      }
      writes++;
      if (random.nextDouble() < lateWriteProbability) {
        time.schedule(LATE_WRITE_DELAY_MILLIS, () -> apply(mutations));
        respond(future, TIMEOUT_MILLIS, new WriteResult.Unknown("timeout"));
        return;
      }
      WriteResult r = apply(mutations);
      if (random.nextDouble() < lostResponseProbability) {
        respond(future, TIMEOUT_MILLIS, new WriteResult.Unknown("timeout"));
      } else {
        respond(future, links.delayMillis(), r);
      }
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      List<String> copy = List.copyOf(keys);
      return query(() -> readNow(copy));
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      return query(() -> scanNow(prefix, after, limit));
    }

    private CompletableFuture<ReadResult> query(Supplier<ReadResult> query) {
      CompletableFuture<ReadResult> future = new CompletableFuture<>();
      time.schedule(
          links.delayMillis() + addedDelayMillis,
          () -> {
            if (links.isCut(domain, Links.PLATFORM)) {
              respond(future, TIMEOUT_MILLIS, new ReadResult.Failed("timeout"));
            } else if (down) {
              respond(future, links.delayMillis(), new ReadResult.Failed("status 503"));
            } else {
              reads++;
              respond(future, links.delayMillis(), query.get());
            }
          });
      return future;
    }

    private <T> void respond(CompletableFuture<T> future, long delayMillis, T result) {
      time.schedule(delayMillis, () -> process.deliver(() -> future.complete(result)));
    }
  }
}
