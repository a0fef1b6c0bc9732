package org.hibiscusreel.ctl.command;

import java.util.Arrays;
import java.util.List;
import org.hibiscusreel.coordination.platform.TableKeys;

/** Parses the keys of rows. */
final class RowKeys {

  private RowKeys() {}

  /** Returns the unescaped parts of a key, without the first part, which is the kind of row. */
  static List<String> parts(String key) {
    return Arrays.stream(key.split("/", -1)).skip(1).map(TableKeys::lastPart).toList();
  }
}
