package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;

/** Sends copies of rows between daemons. A message may be lost, delayed or delivered twice. */
public interface HolderTransport {

  /**
   * Sends copies.
   *
   * @param peers addresses of the receiving daemons
   * @param copies the copies
   */
  void sendHolders(List<String> peers, List<HolderCopy> copies);

  /**
   * Sets the receiver of copies from other daemons, which is called on the event loop.
   *
   * @param receiver receives each copy
   */
  void receiveHolders(Consumer<HolderCopy> receiver);
}
