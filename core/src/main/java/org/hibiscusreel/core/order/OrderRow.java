package org.hibiscusreel.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * Row in the platform's store that grants the right to send commands to one engine.
 *
 * @param fencing fencing number, higher than that of any earlier holder
 * @param holder incarnation that may send commands with this number
 * @param digest SHA-256 of the declared state, in hexadecimal
 */
public record OrderRow(long fencing, String holder, String digest) {
  /**
   * Validates the components.
   *
   * @throws NullPointerException if a component is null
   */
  public OrderRow {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(digest, "digest");
  }

  /**
   * Returns the row to write before a command may be sent.
   *
   * @param current the current row, or empty
   * @param holder incarnation that wants to send the command
   * @param digest digest of the state to declare
   * @param refused whether the engine rejected the current fencing number as too low
   * @return the next row, or empty if the current row already permits the command
   */
  public static Optional<OrderRow> next(
      Optional<OrderRow> current, String holder, String digest, boolean refused) {
    boolean isHeld =
        !refused
            && current.isPresent()
            && current.get().holder().equals(holder)
            && current.get().digest().equals(digest);
    if (isHeld) {
      return Optional.empty();
    }
    long fencing = current.map(OrderRow::fencing).orElse(0L) + 1;
    return Optional.of(new OrderRow(fencing, holder, digest));
  }
}
