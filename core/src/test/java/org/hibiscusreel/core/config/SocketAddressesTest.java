package org.hibiscusreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SocketAddressesTest {

  @ParameterizedTest
  @ValueSource(strings = {"127.0.0.1:1", "255.255.255.255:65535", "[::1]:80", "[2001:db8::7]:443"})
  void acceptsIpAddressAndPort(String text) {
    assertThat(SocketAddresses.isIpAndPort(text)).isTrue();
  }

  /** Guards against host names, which would make a daemon depend on name resolution. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "256.0.0.1:80",
        "1.2.3:80", "::1:80", "[::1]", "[1:2:3]:80", "[1::2::3]:80", "[12345::]:80"
      })
  void rejectsOtherStrings(String text) {
    assertThat(SocketAddresses.isIpAndPort(text)).isFalse();
  }
}
