package org.hibiscusreel.daemon.settings;

/** Thrown if a settings file is invalid or unreadable. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String file;
  private final int line;
  private final String key;

  /**
   * Creates an exception.
   *
   * @param file the settings file
   * @param line line of the error from 1, or 0 if it concerns the whole file
   * @param key dotted key of the invalid value, or empty
   * @param reason what is wrong
   */
  public SettingsException(String file, int line, String key, String reason) {
    super(toMessage(file, line, key, reason));
    this.file = file;
    this.line = line;
    this.key = key;
  }

  /**
   * Returns the settings file.
   *
   * @return path as it was given
   */
  public String file() {
    return file;
  }

  /**
   * Returns the line of the error.
   *
   * @return line from 1, or 0 if the error concerns the whole file
   */
  public int line() {
    return line;
  }

  /**
   * Returns the key of the invalid value.
   *
   * @return dotted key, or empty
   */
  public String key() {
    return key;
  }

  private static String toMessage(String file, int line, String key, String reason) {
    StringBuilder b = new StringBuilder(file);
    if (line > 0) {
      b.append(':').append(line);
    }
    if (!key.isEmpty()) {
      b.append(": ").append(key);
    }
    return b.append(": ").append(reason).toString();
  }
}
