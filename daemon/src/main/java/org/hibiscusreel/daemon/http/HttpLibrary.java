package org.hibiscusreel.daemon.http;

/** Settings of the HTTP library that hold for a whole process. */
public final class HttpLibrary {

  private static final String MAX_LINE_PROPERTY = "io.activej.http.HttpMessage.maxHeaderLineSize";

  /** Longest line of a head that the library reads; whole heads have limits of their own. */
  private static final int MAX_LINE_BYTES = 64 * 1024;

  private HttpLibrary() {}

  /**
   * Applies the settings. Must be called before the library is used.
   *
   * <p>The library refuses a line beyond 8 KiB only where a read ends inside the line, so that a
   * proper head would be refused or not as its segments arrive.
   */
  public static void configure() {
    System.setProperty(MAX_LINE_PROPERTY, Integer.toString(MAX_LINE_BYTES));
  }
}
