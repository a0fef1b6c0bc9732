package org.hibiscusreel.daemon.peer;

import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.InsecureServerCredentials;
import io.grpc.ServerCredentials;
import io.grpc.TlsChannelCredentials;
import io.grpc.TlsServerCredentials;
import java.io.IOException;
import java.util.Optional;
import org.hibiscusreel.daemon.settings.DaemonSettings;

/**
 * Credentials of gRPC for the calls between daemons.
 *
 * @param server credentials of the server
 * @param channel credentials of the client
 */
public record PeerCredentials(ServerCredentials server, ChannelCredentials channel) {

  /**
   * Creates credentials from settings.
   *
   * @param tls certificates for mutual TLS, or empty for connections without TLS
   * @return the credentials
   * @throws IOException if a certificate or key can't be read
   */
  public static PeerCredentials of(Optional<DaemonSettings.PeerTls> tls) throws IOException {
    if (tls.isEmpty()) {
      return new PeerCredentials(
          InsecureServerCredentials.create(), InsecureChannelCredentials.create());
    }
    DaemonSettings.PeerTls t = tls.get();
    ServerCredentials server =
        TlsServerCredentials.newBuilder()
            .keyManager(t.certificate().toFile(), t.key().toFile())
            .trustManager(t.ca().toFile())
            .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
            .build();
    ChannelCredentials channel =
        TlsChannelCredentials.newBuilder()
            .keyManager(t.certificate().toFile(), t.key().toFile())
            .trustManager(t.ca().toFile())
            .build();
    return new PeerCredentials(server, channel);
  }
}
