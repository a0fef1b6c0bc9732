package org.hibiscusreel.bench.streams;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.FleetView;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.TableService;
import org.hibiscusreel.coordination.port.WriteResult;

/** A fault in the wiring of the daemons, by which the model itself is tested. */
public enum PlannedFault {
  /** The shipped wiring. */
  NONE,
  /** The question for the changes until now is answered from the last poll. */
  CATCH_UP_FROM_LAST_POLL,
  /** Daemons send each other no reports. */
  NO_REPORTS,
  /** From some seconds after the start on, records are acknowledged and not written. */
  RECORDS_LOST,
  /** A view counts as followed since the start of the process although it has gaps. */
  GAPS_COUNT_AS_FOLLOWED,
  /** Reports of versions from before a question count as answers to it. */
  EARLIER_REPORTS_COUNT,
  /** Versions that were listed only between two looks at the catalog are not noticed. */
  BRIEF_LISTINGS_MISSED,
  /** The era of the store is not known to the records. */
  ERA_IGNORED,
  /** Rows are answered from a read of some seconds ago. */
  OUTDATED_ROWS,
  /** A stream that is taken up is served as a new one. */
  RESUMPTION_IGNORED;

  private static final long OUTDATED_MILLIS = 3_000;
  private static final long RECORDED_MILLIS = 2_000;
  private static final long EARLIER_MILLIS = 2_000;
  private static final long REPEAT_MILLIS = 200;

  boolean sendsReports() {
    return this != NO_REPORTS;
  }

  boolean hearsOfListings() {
    return this != BRIEF_LISTINGS_MISSED;
  }

  CallerRequest request(CallerRequest r) {
    if (this != RESUMPTION_IGNORED) {
      return r;
    }
    return new CallerRequest(
        r.id(),
        r.method(),
        r.host(),
        r.target(),
        r.path(),
        r.key(),
        r.deadlineMillis(),
        r.prompt(),
        r.fields(),
        r.body());
  }

  void onPeerVersions(ModelProcess process, Runnable report) {
    report.run();
    if (this == EARLIER_REPORTS_COUNT) {
      for (long at = REPEAT_MILLIS; at <= EARLIER_MILLIS; at += REPEAT_MILLIS) {
        process.schedule(at, report);
      }
    }
  }

  /**
   * Returns the view of a daemon. With the faults of views, a view counts without the agreement of
   * other daemons and without a long history of the configuration, since these would hide the
   * fault.
   */
  FleetView view(FleetView view, ModelProcess process) {
    return switch (this) {
      case CATCH_UP_FROM_LAST_POLL, GAPS_COUNT_AS_FOLLOWED, BRIEF_LISTINGS_MISSED ->
          changed(
              faultyView(view, process),
              (method, result) ->
                  switch (method) {
                    case "daemonCount" -> 1;
                    case "configurationFollowedMillis" ->
                        (long) result > 0 ? Long.MAX_VALUE : result;
                    default -> result;
                  });
      default -> view;
    };
  }

  private FleetView faultyView(FleetView view, ModelProcess process) {
    long startMillis = process.nowMillis();
    return switch (this) {
      case CATCH_UP_FROM_LAST_POLL ->
          changed(
              view,
              (method, result) ->
                  method.startsWith("catchUp") ? CompletableFuture.completedFuture(true) : result);
      case GAPS_COUNT_AS_FOLLOWED ->
          changed(
              view,
              (method, result) ->
                  method.equals("upstreamsFollowedMillis") && (long) result > 0
                      ? process.nowMillis() - startMillis
                      : result);
      default -> view;
    };
  }

  /** Returns a view some of whose results are changed, given the name of the method. */
  private static FleetView changed(FleetView view, BiFunction<String, Object, Object> change) {
    return (FleetView)
        Proxy.newProxyInstance(
            FleetView.class.getClassLoader(),
            new Class<?>[] {FleetView.class},
            (proxy, method, args) -> change.apply(method.getName(), method.invoke(view, args)));
  }

  TableService table(TableService table, ModelProcess process) {
    return switch (this) {
      case RECORDS_LOST, ERA_IGNORED, OUTDATED_ROWS -> new Table(table, this, process);
      default -> table;
    };
  }

  private static final class Table implements TableService {
    private final TableService table;
    private final PlannedFault fault;
    private final ModelProcess process;
    private final long startMillis;
    private ReadResult earlier;
    private long earlierAtMillis;

    Table(TableService table, PlannedFault fault, ModelProcess process) {
      this.table = table;
      this.fault = fault;
      this.process = process;
      this.startMillis = process.nowMillis();
    }

    @Override
    public long era() {
      return fault == ERA_IGNORED ? 0 : table.era();
    }

    @Override
    public CompletableFuture<WriteResult> transact(List<Mutation> mutations) {
      return fault == RECORDS_LOST && process.nowMillis() - startMillis > RECORDED_MILLIS
          ? CompletableFuture.completedFuture(new WriteResult.Committed(List.of()))
          : table.transact(mutations);
    }

    @Override
    public CompletableFuture<ReadResult> read(List<String> keys) {
      return table.read(keys);
    }

    @Override
    public CompletableFuture<ReadResult> scan(String prefix, String after, int limit) {
      if (fault != OUTDATED_ROWS) {
        return table.scan(prefix, after, limit);
      }
      if (earlier != null && process.nowMillis() - earlierAtMillis < OUTDATED_MILLIS) {
        return CompletableFuture.completedFuture(earlier);
      }
      return table
          .scan(prefix, after, limit)
          .whenComplete(
              (r, e) -> {
                earlier = r;
                earlierAtMillis = process.nowMillis();
              });
    }
  }
}
