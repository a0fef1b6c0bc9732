package org.hibiscusreel.daemon.main;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;

/** Creates identifiers for the runs of a daemon. */
public final class Incarnations {

  private static final Logger LOG = System.getLogger(Incarnations.class.getName());
  private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
  private static final int SUFFIX_BYTES = 4;

  private Incarnations() {}

  /**
   * Returns a new identifier: host, start time and a random suffix.
   *
   * @param host name of the host
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return the identifier
   */
  public static String create(String host, long wallMillis) {
    byte[] suffix = new byte[SUFFIX_BYTES];
    new SecureRandom().nextBytes(suffix);
    return host + "-" + wallMillis + "-" + HexFormat.of().formatHex(suffix);
  }

  /** Returns the kernel boot identifier of the host, or empty if it has none. */
  static String readBootId() {
    try {
      return Files.readString(BOOT_ID).strip();
    } catch (IOException e) {
      LOG.log(
          Level.WARNING,
          "cannot read the boot identifier of the host, so the death of a daemon is proven later",
          e);
      return "";
    }
  }
}
