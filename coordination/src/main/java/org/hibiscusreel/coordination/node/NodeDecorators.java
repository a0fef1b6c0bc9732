package org.hibiscusreel.coordination.node;

import java.util.function.UnaryOperator;
import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.Billing;

/**
 * Decorators that wrap or replace services of a node, for policies of an embedding program.
 *
 * @param budgets wraps the reservations
 * @param billing wraps the bills
 * @param claims wraps the claims
 * @param configuration wraps the view of the configuration
 */
public record NodeDecorators(
    UnaryOperator<BudgetReservations> budgets,
    UnaryOperator<Billing> billing,
    UnaryOperator<Claims> claims,
    UnaryOperator<ConfigurationView> configuration) {

  /**
   * Returns decorators that change nothing.
   *
   * @return decorators that return each service as it is
   */
  public static NodeDecorators none() {
    return new NodeDecorators(
        UnaryOperator.identity(),
        UnaryOperator.identity(),
        UnaryOperator.identity(),
        UnaryOperator.identity());
  }
}
