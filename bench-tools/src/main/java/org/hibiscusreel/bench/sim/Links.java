package org.hibiscusreel.bench.sim;

import java.util.HashSet;
import java.util.Set;

/**
 * Network links between failure domains and the platform. All messages have the same delay, and
 * each link can be cut.
 */
public final class Links {

  /** Name of the platform as an endpoint of a link. */
  public static final String PLATFORM = "platform";

  private final Set<String> cutLinks = new HashSet<>();
  private final long delayMillis;

  /**
   * Creates links that are not cut.
   *
   * @param delayMillis one-way delay of every message, in milliseconds
   */
  public Links(long delayMillis) {
    this.delayMillis = delayMillis;
  }

  /**
   * Cuts the link between two endpoints in both directions.
   *
   * @param a one endpoint
   * @param b the other endpoint
   */
  public void cut(String a, String b) {
    cutLinks.add(linkName(a, b));
  }

  /**
   * Restores the link between two endpoints.
   *
   * @param a one endpoint
   * @param b the other endpoint
   */
  public void restore(String a, String b) {
    cutLinks.remove(linkName(a, b));
  }

  /** Restores all links. */
  public void restoreAll() {
    cutLinks.clear();
  }

  /**
   * Returns whether messages between two endpoints are lost.
   *
   * @param a one endpoint
   * @param b the other endpoint
   * @return true if the link is cut; an endpoint can always reach itself
   */
  public boolean isCut(String a, String b) {
    return !a.equals(b) && cutLinks.contains(linkName(a, b));
  }

  /**
   * Returns the one-way delay of every message.
   *
   * @return milliseconds
   */
  public long delayMillis() {
    return delayMillis;
  }

  private static String linkName(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }
}
