package org.hibiscusreel.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.hibiscusreel.coordination.port.PeerHandler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.hibiscusreel.wire.FetchConfigurationRequest;
import org.hibiscusreel.wire.FetchConfigurationResponse;
import org.junit.jupiter.api.Test;

class ConfigurationCompressionTest {

  private final AtomicLong received = new AtomicLong();

  /**
   * Guards against uncompressed configurations, which would use most of the network traffic allowed
   * to a daemon.
   */
  @Test
  void bodiesTakeLessThanQuarterOfTheirSizeOnTheWire() throws Exception {
    ByteString body = ByteString.copyFromUtf8(body());
    PeerHandler handler =
        (PeerHandler)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {PeerHandler.class},
                (p, m, a) ->
                    CompletableFuture.completedFuture(
                        FetchConfigurationResponse.newBuilder().setBody(body).build()));
    TestLoop loop = new TestLoop();
    PeerCredentials plain = PeerCredentials.of(Optional.empty());
    InetAddress loopback = InetAddress.getLoopbackAddress();
    GrpcPeerServer server =
        new GrpcPeerServer(new InetSocketAddress(loopback, 0), plain, loop.eventloop());
    server.start();
    server.serve(handler);
    GrpcPeerTransport client = new GrpcPeerTransport(plain, loop.eventloop());
    try (ServerSocket relay = new ServerSocket(0, 1, loopback)) {
      start(() -> relay(relay.accept(), new Socket(loopback, server.port())));
      String address = "127.0.0.1:" + relay.getLocalPort();

      Optional<FetchConfigurationResponse> response =
          loop.await(
              () ->
                  client.fetchConfiguration(
                      address, FetchConfigurationRequest.getDefaultInstance(), 5_000));

      assertThat(response.map(FetchConfigurationResponse::getBody)).contains(body);
      assertThat(received.get()).isPositive().isLessThan(body.size() / 4);
    } finally {
      loop.run(client::stop);
      server.stop();
      loop.close();
    }
  }

  private static String body() {
    StringBuilder b = new StringBuilder();
    for (int i = 0; i < 880; i++) {
      b.append("[upstreams.engine-").append(i).append("]\nkind = \"engine\"\naddress = \"127.0.");
      b.append(i / 250).append('.').append(i % 250).append(":9100\"\nfailure_domain = \"d");
      b.append(i % 7).append("\"\nsite = \"s\"\nmax_concurrent = 64\nleaving = false\n");
    }
    return b.toString();
  }

  private interface Copy {
    void run() throws IOException;
  }

  private static void start(Copy copy) {
    Thread t =
        new Thread(
            () -> {
              try {
                copy.run();
              } catch (IOException e) {
                // The client or the server closed the connection.
              }
            });
    t.setDaemon(true);
    t.start();
  }

  private void relay(Socket client, Socket server) {
    start(() -> copy(client.getInputStream(), server.getOutputStream(), new AtomicLong()));
    start(() -> copy(server.getInputStream(), client.getOutputStream(), received));
  }

  private static void copy(InputStream in, OutputStream out, AtomicLong bytes) throws IOException {
    byte[] buffer = new byte[8_192];
    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
      bytes.addAndGet(n);
      out.write(buffer, 0, n);
      out.flush();
    }
  }
}
