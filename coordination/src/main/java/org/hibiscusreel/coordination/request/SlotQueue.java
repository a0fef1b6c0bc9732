package org.hibiscusreel.coordination.request;

import java.util.Optional;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.core.admission.AdmissionQueue;
import org.hibiscusreel.core.admission.AdmissionQueue.Waiting;

/** Queue of requests that wait until an upstream has a free slot. */
final class SlotQueue {
  /**
   * Largest number of waiting requests. At 3,800 requests per second over 410 daemons this covers
   * more than one minute of arrivals.
   */
  private static final int CAPACITY = 1_000;

  private static final long EXPIRY_INTERVAL_MILLIS = 20;
  private static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 5_000;
  private static final double DURATION_SMOOTHING_FACTOR = 0.1;

  /** Largest fraction of the time to the deadline that is subtracted for the expected duration. */
  private static final double MAX_HEAD_START_RATIO = 0.8;

  /** A waiting request. */
  interface Waiter {
    UpstreamDirectory.Requirements requirements();

    void onSlot();

    /**
     * Called when the request was dropped without running.
     *
     * @param late whether its deadline passed, otherwise the queue was full
     * @param retryAfterMillis retry advice in milliseconds
     */
    void onDropped(boolean late, long retryAfterMillis);
  }

  private final AdmissionQueue<Waiter> queue = new AdmissionQueue<>(CAPACITY);
  private final Scheduler scheduler;
  private final UpstreamDirectory upstreams;
  private boolean expiryScheduled;
  private boolean draining;
  private double meanDurationMillis;

  SlotQueue(Scheduler scheduler, UpstreamDirectory upstreams) {
    this.scheduler = scheduler;
    this.upstreams = upstreams;
  }

  /** Starts the request if a slot is free and no other request waits, otherwise queues it. */
  void startOrEnqueue(Waiter waiter, AdmittedRequest admittedRequest) {
    long now = scheduler.nowMillis();
    if (queue.size() == 0 && upstreams.hasFreeSlot(waiter.requirements())) {
      queue.onStarted(admittedRequest.key().account(), admittedRequest.terms().worstCase(), now);
      waiter.onSlot();
      return;
    }
    long left = admittedRequest.remainingMillis();
    long headStart = (long) Math.min(meanDurationMillis, MAX_HEAD_START_RATIO * left);
    AdmittedRequest.Terms t = admittedRequest.terms();
    Optional<Waiting<Waiter>> dropped =
        queue.offer(
            new Waiting<>(
                waiter, t.key().account(), t.worth(), t.worstCase(), now + left - headStart),
            now);
    dropped.ifPresent(w -> w.item().onDropped(false, retryAfterMillis()));
    scheduleExpiry();
    startWaitingRequests();
  }

  boolean remove(Waiter waiter) {
    return queue.remove(waiter);
  }

  /** Updates the mean duration of responses, which determines how early a request has to start. */
  void onCompleted(long millis) {
    meanDurationMillis =
        meanDurationMillis == 0
            ? millis
            : meanDurationMillis + DURATION_SMOOTHING_FACTOR * (millis - meanDurationMillis);
    startWaitingRequests();
  }

  /** Starts the waiting requests for which a slot is free. */
  void startWaitingRequests() {
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
    return queue.poll(w -> upstreams.hasFreeSlot(w.requirements()), scheduler.nowMillis());
  }

  long retryAfterMillis() {
    double backlog = meanDurationMillis * (1 + queue.size()) / Math.max(1, CAPACITY / 10);
    return (long) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, backlog));
  }

  private void scheduleExpiry() {
    if (!expiryScheduled && queue.size() > 0) {
      expiryScheduled = true;
      scheduler.schedule(EXPIRY_INTERVAL_MILLIS, this::expire);
    }
  }

  private void expire() {
    expiryScheduled = false;
    queue.expire(scheduler.nowMillis()).forEach(w -> w.item().onDropped(true, retryAfterMillis()));
    startWaitingRequests();
    scheduleExpiry();
  }
}
