package org.hibiscusreel.core.order;

import java.util.Objects;
import java.util.Optional;

/**
 * The platform's row of the right to command one engine.
 *
 * @param fencing fencing number, higher than that of any earlier holder
 * @param holder incarnation that may send commands with this number
 * @param digest SHA-256 of the declared state, in hexadecimal
 */
public record OrderRow(long fencing, String holder, String digest) {
  /**
   * Checks the parts.
   *
   * @throws NullPointerException if a part is null
   */
  public OrderRow {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(digest, "digest");
  }

  /**
   * Returns the row to write before a command may be sent.
   *
   * @param present the present row, or empty
   * @param holder incarnation that wants to send the command
   * @param digest digest of the state to declare
   * @param refused whether the engine refused the present number as too low
   * @return the next row, or empty if the present row already allows the command
   */
  public static Optional<OrderRow> next(
      Optional<OrderRow> present, String holder, String digest, boolean refused) {
    boolean held =
        !refused
            && present.isPresent()
            && present.get().holder().equals(holder)
            && present.get().digest().equals(digest);
    if (held) {
      return Optional.empty();
    }
    long fencing = present.map(OrderRow::fencing).orElse(0L) + 1;
    return Optional.of(new OrderRow(fencing, holder, digest));
  }
}
