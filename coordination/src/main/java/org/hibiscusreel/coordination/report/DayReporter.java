package org.hibiscusreel.coordination.report;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;
import org.hibiscusreel.core.report.DayCounters;
import org.hibiscusreel.core.report.DayRow;

/** Maintains the daily counters of one daemon and writes them to the platform. */
public final class DayReporter {

  /** Interval at which changed counters are written, in milliseconds. */
  public static final long WRITE_INTERVAL_MILLIS = 30_000;

  /**
   * Longest time between writes of unchanged counters, in milliseconds. The report treats a daemon
   * whose counters are older than two minutes as unreachable, and one write may fail.
   */
  public static final long REFRESH_INTERVAL_MILLIS = 60_000;

  private static final long FLUSH_GRACE_MILLIS = 600_000;
  private static final int MAX_DAYS = 3;

  private final Scheduler scheduler;
  private final TableService table;
  private final String incarnation;
  private final String site;
  private final LongSupplier pendingBills;
  private final TreeMap<LocalDate, Day> days = new TreeMap<>();
  private Cancellable timer = () -> {};
  private boolean running;

  /**
   * Creates a reporter.
   *
   * @param scheduler time and delayed tasks
   * @param table the platform's table service
   * @param incarnation this incarnation
   * @param site site of the host
   * @param pendingBills returns the number of bills that are not yet written to the platform
   * @throws NullPointerException if an argument is null
   */
  public DayReporter(
      Scheduler scheduler,
      TableService table,
      String incarnation,
      String site,
      LongSupplier pendingBills) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
    this.site = Objects.requireNonNull(site, "site");
    this.pendingBills = Objects.requireNonNull(pendingBills, "pendingBills");
  }

  /** Counters of one day and the last known state of their rows. */
  private static final class Day {
    private final DayCounters counters = new DayCounters();
    private final Map<String, Long> versions = new HashMap<>();
    private long writtenChangeCount = -1;
    private long writtenAtMillis;
    private long writtenPending;
    private boolean areVersionsKnown = true;
    private boolean isWriting;
  }

  /** Starts the periodic writes. Has no effect if running. */
  public void start() {
    if (!running) {
      running = true;
      counters();
      timer = scheduler.schedule(WRITE_INTERVAL_MILLIS, this::tick);
    }
  }

  /**
   * Stops after a last write of all counters.
   *
   * @return completes when the writes have ended, whether or not they succeeded
   */
  public CompletableFuture<Void> stop() {
    running = false;
    timer.cancel();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    new TreeMap<>(days).forEach((date, day) -> writes.add(write(date, day)));
    return CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0]));
  }

  /**
   * Returns the counters of the current day in UTC. A request counts on the day on which it ends.
   *
   * @return the counters, which must only be changed on the event loop
   */
  public DayCounters counters() {
    return days.computeIfAbsent(dateOf(scheduler.wallMillis()), date -> new Day()).counters;
  }

  private void tick() {
    if (!running) {
      return;
    }
    timer = scheduler.schedule(WRITE_INTERVAL_MILLIS, this::tick);
    counters();
    long now = scheduler.wallMillis();
    LocalDate today = dateOf(now);
    days.entrySet().removeIf(e -> e.getKey().isBefore(today) && isFinal(e.getKey(), e.getValue()));
    while (days.size() > MAX_DAYS) {
      days.pollFirstEntry();
    }
    new TreeMap<>(days)
        .forEach(
            (date, day) -> {
              boolean changed = day.counters.changes() != day.writtenChangeCount;
              boolean isRefreshDue = now - day.writtenAtMillis >= REFRESH_INTERVAL_MILLIS;
              if (changed || isRefreshDue || date.isBefore(today)) {
                var unused = write(date, day);
              }
            });
  }

  /**
   * Returns whether a past day needs no further write: its bills were flushed, or the time allowed
   * for the flush has passed.
   */
  private static boolean isFinal(LocalDate date, Day day) {
    long end = date.plusDays(1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
    boolean unchanged = day.counters.changes() == day.writtenChangeCount;
    boolean isFlushed = day.writtenPending == 0 || day.writtenAtMillis >= end + FLUSH_GRACE_MILLIS;
    return unchanged && isFlushed && day.writtenAtMillis >= end;
  }

  private CompletableFuture<Void> write(LocalDate date, Day day) {
    if (day.isWriting) {
      return CompletableFuture.completedFuture(null);
    }
    day.isWriting = true;
    long changes = day.counters.changes();
    DayRow snapshot =
        day.counters.snapshot(
            incarnation, site, date.toString(), scheduler.wallMillis(), pendingBills.getAsLong());
    List<DayRow> parts = DayRows.split(snapshot);
    return refreshVersions(day, parts)
        .thenCompose(
            known ->
                known
                    ? table.transact(mutations(day, parts))
                    : CompletableFuture.completedFuture(new WriteResult.NotApplied("unreadable")))
        .thenAccept(
            result -> {
              day.isWriting = false;
              if (result instanceof WriteResult.Committed committed) {
                day.writtenChangeCount = changes;
                day.writtenAtMillis = snapshot.writtenAtMillis();
                day.writtenPending = snapshot.pendingBills();
                for (int i = 0; i < parts.size(); i++) {
                  day.versions.put(DayRows.key(parts.get(i)), committed.versions().get(i));
                }
              } else {
                day.areVersionsKnown = false;
              }
            });
  }

  /** Reads the versions of the rows again after a write that was not confirmed. */
  private CompletableFuture<Boolean> refreshVersions(Day day, List<DayRow> parts) {
    if (day.areVersionsKnown) {
      return CompletableFuture.completedFuture(true);
    }
    return table
        .read(parts.stream().map(DayRows::key).toList())
        .thenApply(
            result -> {
              if (!(result instanceof ReadResult.Rows rows)) {
                return false;
              }
              day.versions.clear();
              for (Row row : rows.rows()) {
                day.versions.put(row.key(), row.version());
              }
              day.areVersionsKnown = true;
              return true;
            });
  }

  private static List<Mutation> mutations(Day day, List<DayRow> parts) {
    List<Mutation> mutations = new ArrayList<>();
    for (DayRow part : parts) {
      String key = DayRows.key(part);
      mutations.add(Mutation.replace(key, day.versions.getOrDefault(key, 0L), Json.write(part)));
    }
    return mutations;
  }

  private static LocalDate dateOf(long wallMillis) {
    return LocalDate.ofInstant(Instant.ofEpochMilli(wallMillis), ZoneOffset.UTC);
  }
}
