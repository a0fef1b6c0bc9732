package org.hibiscusreel.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Upstreams that have said that they are brittle, and the room that all daemons have at them. Not
 * thread-safe.
 */
public final class BrittleUpstreams {

  /**
   * Time in milliseconds after which an upstream that no longer says so is not brittle any more.
   */
  public static final long EXPIRY_MILLIS = 60_000;

  /**
   * Time in milliseconds for which an instance that has not responded yet is taken for brittle
   * after another one of its service has said that it is. Upstreams that ended are back earlier.
   */
  public static final long SERVICE_EXPIRY_MILLIS = 30_000;

  /**
   * Requests for which other upstreams of a service are expected to have more room than one that
   * has rejected a request; small ones would lose too much room otherwise.
   */
  private static final int SERVICE_MARGIN = 2;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * What one daemon reports of one instance of an upstream.
   *
   * @param upstream identity of the upstream
   * @param service service that it provides
   * @param startedAtMillis wall-clock start time of the instance in milliseconds since the epoch
   * @param perSecond rejections per second that it survives, or empty if it is not brittle
   * @param ageMillis time since a response said so, in milliseconds
   * @param bound requests in progress of all daemons for which it is expected to have room
   * @param rejections number of requests of the daemon that it has rejected
   */
  public record Report(
      String upstream,
      String service,
      long startedAtMillis,
      OptionalInt perSecond,
      long ageMillis,
      int bound,
      long rejections) {}

  private static final class State {
    private final String service;
    private final long startedAtMillis;
    private final BrittleRoom room;
    private final Map<String, Long> rejectionsBySender = new HashMap<>();
    private OptionalInt perSecond = OptionalInt.empty();
    private long statedAtMillis = NEVER;
    private long rejections;
    private long reportedRejections;
    private long reportedAtMillis = NEVER;

    State(String service, long startedAtMillis, BrittleRoom room) {
      this.service = service;
      this.startedAtMillis = startedAtMillis;
      this.room = room;
    }

    boolean setTolerance(OptionalInt value, long atMillis) {
      if (statedAtMillis > atMillis) {
        return false;
      }
      boolean changed = !perSecond.equals(value);
      perSecond = value;
      statedAtMillis = atMillis;
      return changed;
    }
  }

  /** New rejections go first, then what was not reported for longest. */
  private static final Comparator<State> REPORT_ORDER =
      Comparator.<State, Boolean>comparing(s -> s.rejections == s.reportedRejections)
          .thenComparing(s -> s.reportedAtMillis);

  private record Statement(int perSecond, long atMillis) {}

  private final Map<String, State> states = new HashMap<>();
  private final Map<String, Statement> lastByService = new HashMap<>();
  private final Map<String, BrittleRoom> lastRejectedByService = new HashMap<>();

  /**
   * Processes what a response says of its upstream. A response of one that is not brittle counts
   * only if its request was sent after the upstream last said otherwise, since responses on several
   * connections may overtake each other.
   *
   * @param upstream the upstream
   * @param tolerance what the response says
   * @param sentAtMillis time at which the request was sent
   * @param nowMillis monotonic time in milliseconds
   * @return true if the tolerance of the upstream changed
   */
  public boolean onResponse(
      UpstreamEntry upstream, RejectionTolerance tolerance, long sentAtMillis, long nowMillis) {
    if (tolerance instanceof RejectionTolerance.Bounded b) {
      State s = state(upstream, nowMillis);
      return s != null && setTolerance(s, OptionalInt.of(b.perSecond()), nowMillis);
    }
    if (isEmpty() || tolerance instanceof RejectionTolerance.Invalid) {
      return false;
    }
    State s = state(upstream, nowMillis);
    return s != null
        && sentAtMillis > s.statedAtMillis
        && setTolerance(s, OptionalInt.empty(), nowMillis);
  }

  private boolean setTolerance(State s, OptionalInt perSecond, long atMillis) {
    if (perSecond.isPresent()) {
      Statement stated = new Statement(perSecond.getAsInt(), atMillis);
      lastByService.merge(s.service, stated, (a, b) -> a.atMillis() > b.atMillis() ? a : b);
    }
    return s.setTolerance(perSecond, atMillis);
  }

  /** Returns the state of an instance, or null if a later one has started under its identity. */
  private State state(UpstreamEntry upstream, long nowMillis) {
    return state(upstream.id(), upstream.service(), upstream.startedAtMillis(), nowMillis);
  }

  private State state(String upstream, String service, long startedAtMillis, long nowMillis) {
    State s = states.get(upstream);
    if (s == null || s.startedAtMillis < startedAtMillis) {
      BrittleRoom last = lastRejectedByService.get(service);
      BrittleRoom room = last == null ? new BrittleRoom() : new BrittleRoom(last, nowMillis);
      s = new State(service, startedAtMillis, room);
      states.put(upstream, s);
    }
    return s.startedAtMillis == startedAtMillis ? s : null;
  }

  /**
   * Returns how many rejections an upstream survives.
   *
   * @param upstream the upstream
   * @param nowMillis monotonic time in milliseconds
   * @return rejections per second, or empty if it is not brittle
   */
  public OptionalInt tolerance(UpstreamEntry upstream, long nowMillis) {
    if (isEmpty()) {
      return OptionalInt.empty();
    }
    State s = states.get(upstream.id());
    boolean isStated =
        s != null
            && s.startedAtMillis == upstream.startedAtMillis()
            && s.statedAtMillis != NEVER
            && nowMillis - s.statedAtMillis <= EXPIRY_MILLIS;
    if (isStated) {
      return s.perSecond;
    }
    Statement last = lastByService.get(upstream.service());
    return last != null && nowMillis - last.atMillis() <= SERVICE_EXPIRY_MILLIS
        ? OptionalInt.of(last.perSecond())
        : OptionalInt.empty();
  }

  /**
   * Tells whether an upstream may get another request from this daemon.
   *
   * @param upstream the upstream
   * @param use requests in progress
   * @param share part of this daemon
   * @param draw random number from 0 to 1, new for each request
   * @param nowMillis monotonic time in milliseconds
   * @return true if it is not brittle or has room
   */
  public boolean admits(
      UpstreamEntry upstream, BrittleUse use, BrittleShare share, double draw, long nowMillis) {
    OptionalInt tolerance = tolerance(upstream, nowMillis);
    if (tolerance.isEmpty()) {
      return true;
    }
    State s = state(upstream, nowMillis);
    return s != null && s.room.admits(use, share, tolerance.getAsInt(), draw, nowMillis);
  }

  /**
   * Records that this daemon sends a request.
   *
   * @param upstream the upstream
   * @param use requests in progress, without this one
   * @param share part of this daemon
   * @param nowMillis monotonic time in milliseconds
   */
  public void onSent(UpstreamEntry upstream, BrittleUse use, BrittleShare share, long nowMillis) {
    State s = tolerance(upstream, nowMillis).isEmpty() ? null : state(upstream, nowMillis);
    if (s != null) {
      s.room.onSent(use, share, nowMillis);
    }
  }

  /**
   * Records that a brittle upstream rejected a request of this daemon.
   *
   * @param upstream the upstream
   * @param use requests in progress, with the rejected one
   * @param nowMillis monotonic time in milliseconds
   */
  public void onRejected(UpstreamEntry upstream, BrittleUse use, long nowMillis) {
    State s = state(upstream, nowMillis);
    if (s != null) {
      s.rejections++;
      s.room.onRejected(use, nowMillis);
      onBoundLowered(s, nowMillis);
    }
  }

  /** Upstreams of one service probably have as much room. */
  private void onBoundLowered(State rejecting, long nowMillis) {
    lastRejectedByService.put(rejecting.service, rejecting.room);
    int bound = rejecting.room.bound(nowMillis) + SERVICE_MARGIN;
    states.values().stream()
        .filter(s -> s.service.equals(rejecting.service))
        .forEach(s -> s.room.onOtherUpstreamRejected(bound, nowMillis));
  }

  /**
   * Returns for how long this daemon sends an upstream nothing after rejections.
   *
   * @param upstream the upstream
   * @param nowMillis monotonic time in milliseconds
   * @return milliseconds, 0 if only its room decides
   */
  public long remainingMillis(UpstreamEntry upstream, long nowMillis) {
    OptionalInt tolerance = tolerance(upstream, nowMillis);
    State s = tolerance.isEmpty() ? null : state(upstream, nowMillis);
    return s == null ? 0 : s.room.remainingMillis(tolerance.getAsInt(), nowMillis);
  }

  /**
   * Processes the report of another daemon, which may be late, repeated or lost.
   *
   * @param sender incarnation of the daemon
   * @param reports what it reports
   * @param nowMillis monotonic time in milliseconds
   */
  public void onReport(String sender, List<Report> reports, long nowMillis) {
    for (Report r : reports) {
      State s = state(r.upstream(), r.service(), r.startedAtMillis(), nowMillis);
      if (s != null) {
        setTolerance(s, r.perSecond(), nowMillis - r.ageMillis());
        Long before = s.rejectionsBySender.put(sender, r.rejections());
        long more = r.rejections() - (before == null ? 0 : before);
        if (more > 0) {
          s.room.onOthersRejected(more, r.bound(), nowMillis);
          onBoundLowered(s, nowMillis);
        }
      }
    }
  }

  /**
   * Returns what this daemon reports to the others, and forgets what has expired.
   *
   * @param maxCount largest number of upstreams
   * @param nowMillis monotonic time in milliseconds
   * @return the brittle upstreams, and those that lately ceased to be
   */
  public List<Report> toReport(int maxCount, long nowMillis) {
    if (isEmpty()) {
      return List.of();
    }
    states.values().removeIf(s -> isExpired(s, nowMillis));
    lastByService.values().removeIf(last -> nowMillis - last.atMillis() > SERVICE_EXPIRY_MILLIS);
    List<Report> result = new ArrayList<>();
    states.entrySet().stream()
        .filter(e -> e.getValue().statedAtMillis != NEVER)
        .sorted(Map.Entry.comparingByValue(REPORT_ORDER))
        .limit(maxCount)
        .forEach(e -> result.add(report(e.getKey(), e.getValue(), nowMillis)));
    return result;
  }

  private boolean isExpired(State s, long nowMillis) {
    if (s.statedAtMillis == NEVER) {
      Statement last = lastByService.get(s.service);
      return last == null || nowMillis - last.atMillis() > SERVICE_EXPIRY_MILLIS;
    }
    long lifetime = s.perSecond.isPresent() ? EXPIRY_MILLIS : SERVICE_EXPIRY_MILLIS;
    return nowMillis - s.statedAtMillis > lifetime;
  }

  private static Report report(String upstream, State s, long nowMillis) {
    s.reportedRejections = s.rejections;
    s.reportedAtMillis = nowMillis;
    return new Report(
        upstream,
        s.service,
        s.startedAtMillis,
        s.perSecond,
        nowMillis - s.statedAtMillis,
        s.room.bound(nowMillis),
        s.rejections);
  }

  /**
   * Returns the number of brittle upstreams.
   *
   * @return 0 or more
   */
  public int count() {
    return (int) states.values().stream().filter(s -> s.perSecond.isPresent()).count();
  }

  /**
   * Tells whether no upstream is or was brittle lately.
   *
   * @return true if nothing has to be checked
   */
  public boolean isEmpty() {
    return states.isEmpty() && lastByService.isEmpty();
  }

  /**
   * Discards upstreams that were removed.
   *
   * @param ids identifiers of the removed upstreams
   */
  public void onRemoved(Iterable<String> ids) {
    ids.forEach(states::remove);
  }
}
