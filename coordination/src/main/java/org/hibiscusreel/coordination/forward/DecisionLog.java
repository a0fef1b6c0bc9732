package org.hibiscusreel.coordination.forward;

import java.util.Map;

/** Takes one line for each decision. Must not block. */
@FunctionalInterface
public interface DecisionLog {

  /**
   * Records a decision.
   *
   * @param event stable lower-case name
   * @param fields inputs, their age or version, and the outcome, in order
   */
  void record(String event, Map<String, Object> fields);
}
