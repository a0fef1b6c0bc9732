package org.hibiscusreel.coordination.forward;

import java.util.Map;

/** Log of decisions, one line each. Implementations must not block. */
@FunctionalInterface
public interface DecisionLog {

  /**
   * Records a decision.
   *
   * @param event stable lower-case name of the kind of decision
   * @param fields inputs, their age or version, and the outcome, in the order of output
   */
  void record(String event, Map<String, Object> fields);
}
