package org.hibiscusreel.coordination.forward;

import java.util.List;
import java.util.function.Consumer;

/** Transport of a daemon without peers. */
final class NoOpHolderTransport implements HolderTransport {

  @Override
  public void sendHolders(List<String> peers, List<HolderCopy> copies) {}

  @Override
  public void receiveHolders(Consumer<HolderCopy> receiver) {}
}
