package org.hibiscusreel.daemon.http;

/** Receives the number of bytes that pass through sockets. Called only on the event loop. */
public interface TrafficListener {

  /** Ignores all traffic. */
  TrafficListener NONE =
      new TrafficListener() {
        @Override
        public void onReceived(int bytes) {}

        @Override
        public void onSent(int bytes) {}
      };

  /**
   * Called when bytes were read from a socket.
   *
   * @param bytes number of bytes
   */
  void onReceived(int bytes);

  /**
   * Called when bytes were written to a socket.
   *
   * @param bytes number of bytes
   */
  void onSent(int bytes);
}
