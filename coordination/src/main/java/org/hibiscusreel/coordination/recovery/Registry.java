package org.hibiscusreel.coordination.recovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;

/** All registered incarnations as they were read at one time. */
record Registry(Map<String, IncarnationRow> rows, Map<String, Long> versions) {

  static final String PREFIX = "incarnation/";

  static Registry of(List<Row> rows) {
    Map<String, IncarnationRow> parsed = new LinkedHashMap<>();
    Map<String, Long> versions = new LinkedHashMap<>();
    for (Row row : rows) {
      String id = TableKeys.lastPart(row.key());
      parsed.put(id, Json.read(row.value(), IncarnationRow.class));
      versions.put(id, row.version());
    }
    return new Registry(parsed, versions);
  }

  List<String> in(IncarnationState state) {
    return rows.entrySet().stream()
        .filter(e -> e.getValue().state() == state)
        .map(Map.Entry::getKey)
        .toList();
  }
}
