package org.hibiscusreel.coordination.platform;

import java.util.OptionalLong;

/**
 * Era of the store as its responses name it. Responses may arrive out of order, so one that names
 * an earlier era than another one before it belongs to a state that is gone. Not thread-safe.
 */
public final class ObservedStoreEra {

  private long era;

  /**
   * Records the era that a response names.
   *
   * @param named era in the response, or empty if it names none that can be read
   * @return whether the response belongs to the current era; a response without an era does only as
   *     long as none has named one
   */
  public boolean observe(OptionalLong named) {
    era = Math.max(era, named.orElse(0));
    return named.orElse(0) == era;
  }

  /**
   * Returns the current era.
   *
   * @return number of the era, 0 if no response has named one
   */
  public long current() {
    return era;
  }
}
