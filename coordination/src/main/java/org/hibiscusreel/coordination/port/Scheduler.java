package org.hibiscusreel.coordination.port;

/** Clock and delayed tasks of one event loop. All tasks run on the thread of the event loop. */
public interface Scheduler {

  /**
   * Returns the monotonic time.
   *
   * @return milliseconds since an arbitrary origin
   */
  long nowMillis();

  /**
   * Returns the wall-clock time.
   *
   * @return milliseconds since the epoch
   */
  long wallMillis();

  /**
   * Runs a task once after a delay.
   *
   * @param delayMillis delay in milliseconds; 0 or less runs the task in the next iteration of the
   *     event loop
   * @param task the task
   * @return a handle that cancels the task
   */
  Cancellable schedule(long delayMillis, Runnable task);
}
