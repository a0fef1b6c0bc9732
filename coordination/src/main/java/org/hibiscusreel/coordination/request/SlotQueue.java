package org.hibiscusreel.coordination.request;

import java.util.Optional;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.admission.AdmissionQueue;
import org.hibiscusreel.core.admission.AdmissionQueue.Waiting;

/** Requests that wait until an upstream has room for them. */
final class SlotQueue {
  /** At 3,800 requests a second over 410 daemons this is more than a minute of arrivals. */
  private static final int CAPACITY = 1_000;

  private static final long EXPIRE_INTERVAL_MILLIS = 20;
  private static final long MIN_RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 5_000;
  private static final double SMOOTHING = 0.1;

  /** Share of the time to the deadline that the expected duration may take away. */
  private static final double MAX_HEAD_START = 0.8;

  /** A request that waits. */
  interface Waiter {
    UpstreamDirectory.Wanted wanted();

    void onSlot();

    /** The request was dropped; it never ran. */
    void onDropped(boolean late, long retryAfterMillis);
  }

  private final AdmissionQueue<Waiter> queue = new AdmissionQueue<>(CAPACITY);
  private final Scheduler scheduler;
  private final UpstreamDirectory upstreams;
  private boolean expiryScheduled;
  private boolean draining;
  private double durationMillis;

  SlotQueue(Scheduler scheduler, UpstreamDirectory upstreams) {
    this.scheduler = scheduler;
    this.upstreams = upstreams;
  }

  /** Starts the request now if there is room and nobody waits, otherwise queues it. */
  void enter(Waiter waiter, Ticket ticket) {
    long now = scheduler.nowMillis();
    if (queue.size() == 0 && upstreams.hasRoom(waiter.wanted())) {
      queue.onStarted(ticket.key().account(), ticket.terms().worstCase(), now);
      waiter.onSlot();
      return;
    }
    long left = ticket.remainingMillis();
    long headStart = (long) Math.min(durationMillis, MAX_HEAD_START * left);
    Ticket.Terms t = ticket.terms();
    Optional<Waiting<Waiter>> dropped =
        queue.offer(
            new Waiting<>(
                waiter, t.key().account(), t.worth(), t.worstCase(), now + left - headStart),
            now);
    dropped.ifPresent(w -> w.item().onDropped(false, retryAfterMillis()));
    scheduleExpiry();
    drain();
  }

  boolean leave(Waiter waiter) {
    return queue.remove(waiter);
  }

  /** Takes the duration of a response, which tells how early a request has to start. */
  void onCompleted(long millis) {
    durationMillis =
        durationMillis == 0 ? millis : durationMillis + SMOOTHING * (millis - durationMillis);
    drain();
  }

  /** Starts what can be started, after room became free. */
  void drain() {
    if (draining) {
      return;
    }
    draining = true;
    try {
      Optional<Waiting<Waiter>> next = poll();
      while (next.isPresent()) {
        Waiting<Waiter> w = next.get();
        queue.onStarted(w.account(), w.tokens(), scheduler.nowMillis());
        w.item().onSlot();
        next = poll();
      }
    } finally {
      draining = false;
    }
  }

  private Optional<Waiting<Waiter>> poll() {
    return queue.poll(w -> upstreams.hasRoom(w.wanted()), scheduler.nowMillis());
  }

  long retryAfterMillis() {
    double backlog = durationMillis * (1 + queue.size()) / Math.max(1, CAPACITY / 10);
    return (long) Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, backlog));
  }

  private void scheduleExpiry() {
    if (!expiryScheduled && queue.size() > 0) {
      expiryScheduled = true;
      scheduler.schedule(EXPIRE_INTERVAL_MILLIS, this::expire);
    }
  }

  private void expire() {
    expiryScheduled = false;
    queue.expire(scheduler.nowMillis()).forEach(w -> w.item().onDropped(true, retryAfterMillis()));
    drain();
    scheduleExpiry();
  }
}
