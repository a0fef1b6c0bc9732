package org.hibiscusreel.bench.sim;

import java.util.HashSet;
import java.util.Set;

/** Which links are cut and how long a message takes. Ends are failure domains or the platform. */
public final class Links {

  /** Name of the platform's end. */
  public static final String PLATFORM = "platform";

  private final Set<String> cut = new HashSet<>();
  private final long delayMillis;

  /**
   * Creates links of which none is cut.
   *
   * @param delayMillis one-way delay of every message, in milliseconds
   */
  public Links(long delayMillis) {
    this.delayMillis = delayMillis;
  }

  /**
   * Cuts the link between two ends in both directions.
   *
   * @param a one end
   * @param b the other end
   */
  public void cut(String a, String b) {
    cut.add(name(a, b));
  }

  /**
   * Restores the link between two ends.
   *
   * @param a one end
   * @param b the other end
   */
  public void heal(String a, String b) {
    cut.remove(name(a, b));
  }

  /** Restores all links. */
  public void healAll() {
    cut.clear();
  }

  /**
   * Tells whether messages between two ends are lost.
   *
   * @param a one end
   * @param b the other end
   * @return true if the link is cut; an end always reaches itself
   */
  public boolean isCut(String a, String b) {
    return !a.equals(b) && cut.contains(name(a, b));
  }

  /**
   * Returns the one-way delay.
   *
   * @return milliseconds
   */
  public long delayMillis() {
    return delayMillis;
  }

  private static String name(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
