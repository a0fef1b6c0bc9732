package org.hibiscusreel.core.crash;

import java.util.Map;

/**
 * Traits that crash upstreams if a request has all of them.
 *
 * @param epochs the traits, each with the number of times that it had been cleared
 */
public record Block(Map<String, Long> epochs) {

  /** Copies the map. */
  public Block {
    epochs = Map.copyOf(epochs);
  }
}
