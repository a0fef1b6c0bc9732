package org.hibiscusreel.coordination.recovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;

/** Snapshot of the rows of all registered incarnations. */
record IncarnationRegistry(Map<String, IncarnationRow> rows, Map<String, Long> versions) {

  static final String PREFIX = "incarnation/";

  static IncarnationRegistry of(List<Row> rows) {
    Map<String, IncarnationRow> parsed = new LinkedHashMap<>();
    Map<String, Long> versions = new LinkedHashMap<>();
    for (Row row : rows) {
      String id = TableKeys.lastPart(row.key());
      parsed.put(id, Json.read(row.value(), IncarnationRow.class));
      versions.put(id, row.version());
    }
    return new IncarnationRegistry(parsed, versions);
  }

  List<String> inState(IncarnationState state) {
    return rows.entrySet().stream()
        .filter(e -> e.getValue().state() == state)
        .map(Map.Entry::getKey)
        .toList();
  }
}
