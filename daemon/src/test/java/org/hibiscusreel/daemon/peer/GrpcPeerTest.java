package org.hibiscusreel.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.hibiscusreel.testsupport.TestCertificates;
import org.hibiscusreel.wire.ProbeRequest;
import org.hibiscusreel.wire.ProbeResponse;
import org.hibiscusreel.wire.ReserveRequest;
import org.hibiscusreel.wire.ReserveResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GrpcPeerTest {

  private final TestLoop loop = new TestLoop();
  private final List<GrpcPeerServer> servers = new ArrayList<>();
  private final List<GrpcPeerTransport> clients = new ArrayList<>();
  private final List<Boolean> inLoop = new ArrayList<>();
  private final PeerHandler handler =
      (PeerHandler)
          Proxy.newProxyInstance(
              getClass().getClassLoader(),
              new Class<?>[] {PeerHandler.class},
              (proxy, method, arguments) -> answer(arguments[0]));

  private CompletableFuture<?> answer(Object request) {
    inLoop.add(loop.eventloop().inReactorThread());
    if (request instanceof ProbeRequest p) {
      return CompletableFuture.completedFuture(
          ProbeResponse.newBuilder()
              .setConfigurationVersion(p.getConfigurationVersion() + 1)
              .build());
    }
    // Never completed, so that the call ends at the deadline of the caller.
    return new CompletableFuture<ReserveResponse>();
  }

  @AfterEach
  void stop() {
    clients.forEach(c -> loop.run(c::stop));
    servers.forEach(GrpcPeerServer::stop);
    loop.close();
  }

  private GrpcPeerServer serve(int port, PeerCredentials credentials) throws IOException {
    GrpcPeerServer s =
        new GrpcPeerServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            credentials,
            loop.eventloop());
    s.start();
    servers.add(s);
    s.serve(handler);
    return s;
  }

  private GrpcPeerTransport connect(PeerCredentials credentials) {
    GrpcPeerTransport c = new GrpcPeerTransport(credentials, loop.eventloop());
    clients.add(c);
    return c;
  }

  private Optional<ProbeResponse> probe(GrpcPeerTransport client, int port) {
    ProbeRequest r = ProbeRequest.newBuilder().setConfigurationVersion(4).build();
    return loop.await(
        () ->
            client
                .probe("127.0.0.1:" + port, r, 3000)
                .whenComplete((v, e) -> inLoop.add(loop.eventloop().inReactorThread())));
  }

  @Test
  void carriesCallsOnTheEventLoop() throws Exception {
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    GrpcPeerServer server = serve(0, plain);
    GrpcPeerTransport client = connect(plain);

    Optional<ProbeResponse> response = probe(client, server.port());

    assertThat(response.map(ProbeResponse::getConfigurationVersion)).contains(5L);
    assertThat(inLoop).containsExactly(true, true);
  }

  @Test
  void callWithoutAnswerEndsAtItsDeadline() throws Exception {
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    String address = "127.0.0.1:" + serve(0, plain).port();
    GrpcPeerTransport client = connect(plain);

    var response =
        loop.await(() -> client.reserve(address, ReserveRequest.getDefaultInstance(), 200));

    assertThat(response).isEmpty();
  }

  /** Guards against a peer that stays unreachable for minutes after its restart. */
  @Test
  void reachesAgainPeersThatWereDown() throws Exception {
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    GrpcPeerServer server = serve(0, plain);
    final int port = server.port();
    server.stop();
    GrpcPeerTransport client = connect(plain);
    for (int i = 0; i < 3; i++) {
      assertThat(probe(client, port)).isEmpty();
    }

    serve(port, plain);

    assertThat(probe(client, port)).isPresent();
  }

  /** Guards against a restart that can't bind the port until connections in TIME_WAIT expire. */
  @Test
  void portIsFreeAfterStopWithOpenConnections() throws Exception {
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    GrpcPeerServer server = serve(0, plain);
    final int port = server.port();
    GrpcPeerTransport client = connect(plain);
    assertThat(probe(client, port)).isPresent();

    server.stop();
    serve(port, plain);

    assertThat(probe(client, port)).isPresent();
  }

  /** Guards against a second process that binds the port of a running one. */
  @Test
  void boundPortIsExclusive() throws Exception {
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    int port = serve(0, plain).port();

    assertThatThrownBy(() -> serve(port, plain)).isInstanceOf(IOException.class);
  }

  @Test
  void keepsBoundedNumberOfChannels() throws Exception {
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    GrpcPeerTransport client = connect(plain);
    for (int port = 1; port <= GrpcPeerTransport.MAX_CHANNELS + 10; port++) {
      int p = port;
      loop.await(() -> client.probe("127.0.0.1:" + p, ProbeRequest.getDefaultInstance(), 10));
    }

    assertThat(loop.get(client::channelCount)).isEqualTo(GrpcPeerTransport.MAX_CHANNELS);
  }

  /** Guards against unauthenticated clients that spend budgets through the peer port. */
  @Test
  void mutualTlsRefusesPeersWithoutTrustedCertificates(@TempDir Path directory) throws Exception {
    TestCertificates mine = TestCertificates.create(directory, "mine");
    TestCertificates other = TestCertificates.create(directory, "other");
    PeerCredentials trusted = credentials(mine, mine);
    final int port = serve(0, trusted).port();

    assertThat(probe(connect(trusted), port)).isPresent();
    assertThat(probe(connect(PeerCredentials.of(Optional.empty())), port)).isEmpty();
    assertThat(probe(connect(credentials(other, mine)), port)).isEmpty();
    assertThat(probe(connect(credentials(mine, other)), port)).isEmpty();
  }

  private static PeerCredentials credentials(TestCertificates own, TestCertificates trusted)
      throws IOException {
    return PeerCredentials.of(
        Optional.of(
            new DaemonSettings.PeerTls(own.certificate(), own.key(), trusted.certificate())));
  }
}
