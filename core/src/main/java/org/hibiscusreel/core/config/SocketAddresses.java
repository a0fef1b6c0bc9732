package org.hibiscusreel.core.config;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates and parses socket addresses that consist of an IP address and a port. */
public final class SocketAddresses {

  private static final Pattern V4 = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}):([0-9]+)");
  private static final Pattern V6 = Pattern.compile("\\[([0-9A-Fa-f:]+)]:([0-9]+)");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_PORT_DIGITS = 5;
  private static final int V6_GROUPS = 8;

  private SocketAddresses() {}

  /**
   * Tells whether a string is an IP address and a port, such as {@code 10.0.0.1:80} or {@code
   * [::1]:80}. Host names are rejected to avoid a dependency on name resolution.
   *
   * @param text the string
   * @return true if the address and the port, 1 to 65535, are valid
   */
  public static boolean isIpAndPort(String text) {
    Matcher v4 = V4.matcher(text);
    if (v4.matches()) {
      return isV4(v4.group(1)) && isPort(v4.group(2));
    }
    Matcher v6 = V6.matcher(text);
    return v6.matches() && isV6(v6.group(1)) && isPort(v6.group(2));
  }

  /**
   * Returns the address that a string names. No name is looked up.
   *
   * @param text IP address and port
   * @return the address
   * @throws IllegalArgumentException if {@link #isIpAndPort} is false
   */
  public static InetSocketAddress parse(String text) {
    if (!isIpAndPort(text)) {
      throw new IllegalArgumentException("no IP address with a port: " + text);
    }
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  private static boolean isV4(String address) {
    for (String part : address.split("\\.", -1)) {
      if (Integer.parseInt(part) > 255) {
        return false;
      }
    }
    return true;
  }

  private static boolean isV6(String address) {
    int compression = address.indexOf("::");
    if (compression < 0) {
      return groups(address) == V6_GROUPS;
    }
    String tail = address.substring(compression + 2);
    int before = compression == 0 ? 0 : groups(address.substring(0, compression));
    int after = tail.isEmpty() ? 0 : groups(tail);
    return before >= 0 && after >= 0 && before + after < V6_GROUPS;
  }

  /** Returns the number of groups, or a large negative number if one is malformed. */
  private static int groups(String part) {
    int n = 0;
    for (String group : part.split(":", -1)) {
      if (group.isEmpty() || group.length() > 4) {
        return -V6_GROUPS;
      }
      n++;
    }
    return n;
  }

  private static boolean isPort(String digits) {
    if (digits.length() > MAX_PORT_DIGITS) {
      return false;
    }
    int port = Integer.parseInt(digits);
    return port >= 1 && port <= MAX_PORT;
  }
}
