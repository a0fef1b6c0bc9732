package org.hibiscusreel.coordination.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hibiscusreel.coordination.port.ChangeFeed.Change;

/**
 * Rows of one table that can't be used. Each is recorded once until its value changes: a full read
 * brings all rows again, and a writer may repeat the same value.
 */
final class UnusableRows {

  private static final int MAX_KEY_LENGTH = 200;

  private final Map<String, Integer> valueHashes = new HashMap<>();
  private final DecisionLog log;
  private final String event;
  private final String keyField;

  UnusableRows(DecisionLog log, String event, String keyField) {
    this.log = log;
    this.event = event;
    this.keyField = keyField;
  }

  void onUnusable(Change row, String reason) {
    int hash = row.value().hashCode();
    Integer recorded = valueHashes.put(row.key(), hash);
    if (recorded == null || recorded != hash) {
      String key = RowValue.shorten(row.key(), MAX_KEY_LENGTH);
      log.record(event, Map.of(keyField, key, "reason", reason));
    }
  }

  void onUsable(String key) {
    valueHashes.remove(key);
  }

  /** Forgets the rows that the table no longer has. */
  void retain(Collection<String> keys) {
    valueHashes.keySet().retainAll(Set.copyOf(keys));
  }
}
