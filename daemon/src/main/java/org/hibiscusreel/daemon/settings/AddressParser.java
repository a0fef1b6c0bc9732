package org.hibiscusreel.daemon.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses and formats addresses that consist of an IP address and a port. */
public final class AddressParser {

  private static final int MAX_PORT = 65535;
  private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
  private static final Pattern IPV6 = Pattern.compile("\\[[0-9A-Fa-f:.]+\\]");

  private AddressParser() {}

  /**
   * Parses an address. Host names are rejected, because a DNS lookup would block the event loop.
   *
   * @param text IP address and port, for example {@code 127.0.0.1:8080} or {@code [::1]:8080}
   * @return the resolved address
   * @throws IllegalArgumentException if the text is not an IP address and a port
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException(message(text));
    }
    String host = text.substring(0, colon);
    if (!IPV4.matcher(host).matches() && !IPV6.matcher(host).matches()) {
      throw new IllegalArgumentException(message(text));
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (port < 0 || port > MAX_PORT) {
        throw new IllegalArgumentException(message(text));
      }
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (NumberFormatException | UnknownHostException e) {
      throw new IllegalArgumentException(message(text), e);
    }
  }

  /**
   * Formats an address.
   *
   * @param address a resolved address
   * @return IP address and port
   */
  public static String format(InetSocketAddress address) {
    String ip = address.getAddress().getHostAddress();
    return (ip.indexOf(':') >= 0 ? "[" + ip + "]" : ip) + ":" + address.getPort();
  }

  private static String message(String text) {
    return "expected an IP number and a port, found \"" + text + "\"";
  }
}
