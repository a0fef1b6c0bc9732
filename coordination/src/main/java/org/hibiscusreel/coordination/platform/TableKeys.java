package org.hibiscusreel.coordination.platform;

/**
 * Keys of the rows in the table service. Parts of a key are escaped, so that they can't contain a
 * slash.
 */
public final class TableKeys {

  /** Key of the head of the configuration. */
  public static final String CONFIG_HEAD = "config/head";

  private TableKeys() {}

  /** Returns the key of a budget row. */
  public static String budget(String budget) {
    return join("budget", budget);
  }

  /** Returns the key of an allotment row. */
  public static String allotment(String incarnation, String budget) {
    return join("allotment", incarnation, budget);
  }

  /** Returns the prefix of all allotment rows of an incarnation. */
  public static String allotments(String incarnation) {
    return join("allotment", incarnation) + "/";
  }

  /**
   * Returns the key of the row with the sum of tokens that a server billed from a holder's
   * allotment.
   */
  public static String spent(String holder, String budget, String server) {
    return join("spent", holder, budget, server);
  }

  /** Returns the prefix of the keys of all sums of an allotment. */
  public static String spentOf(String holder, String budget) {
    return join("spent", holder, budget) + "/";
  }

  /** Returns the key of a bill. */
  public static String bill(String account, String requestId) {
    return join("bill", account, requestId);
  }

  /** Returns the prefix of all bills of a client account. */
  public static String bills(String account) {
    return join("bill", account) + "/";
  }

  /** Returns the key of a claim. */
  public static String claim(String account, String requestId) {
    return join("claim", account, requestId);
  }

  /** Returns the key of an incarnation row. */
  public static String incarnation(String incarnation) {
    return join("incarnation", incarnation);
  }

  /** Returns the key of an acknowledgement of a death. */
  public static String acknowledgement(String dead, String incarnation) {
    return join("ack", dead, incarnation);
  }

  /** Returns the key of a configuration version. */
  public static String configVersion(long version) {
    return join("config", "version", String.format("%012d", version));
  }

  /** Returns the key of the counters of an incarnation on a day. */
  public static String day(String date, String incarnation) {
    return join("day", date, incarnation);
  }

  /** Returns the prefix of all counters of a day. */
  public static String days(String date) {
    return join("day", date) + "/";
  }

  /** Returns the key of the order row of an upstream. */
  public static String order(String upstream) {
    return join("order", upstream);
  }

  /**
   * Returns the last part of a key.
   *
   * @param key a key
   * @return the unescaped part after the last slash
   */
  public static String lastPart(String key) {
    return unescape(key.substring(key.lastIndexOf('/') + 1));
  }

  private static String join(String first, String... parts) {
    StringBuilder b = new StringBuilder(first);
    for (String p : parts) {
      b.append('/').append(escape(p));
    }
    return b.toString();
  }

  private static String escape(String part) {
    return part.replace("%", "%25").replace("/", "%2F");
  }

  private static String unescape(String part) {
    return part.replace("%2F", "/").replace("%25", "%");
  }
}
