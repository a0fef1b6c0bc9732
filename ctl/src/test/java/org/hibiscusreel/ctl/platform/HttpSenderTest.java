package org.hibiscusreel.ctl.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests over real sockets of what the clients of the platform make of exact responses. */
class HttpSenderTest {

  private static final long TIMEOUT_MILLIS = 5_000;

  private final EventLoop loop = new EventLoop();
  private final HttpSender sender = new HttpSender(loop, TIMEOUT_MILLIS);
  private final ServerSocket server;
  private volatile String response = "";

  HttpSenderTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread t = new Thread(this::accept, "raw-server");
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try (Socket s = server.accept()) {
        s.setSoTimeout(1_000);
        BufferedReader in =
            new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
          line = in.readLine();
        }
        s.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        s.shutdownOutput();
        s.getInputStream().skip(Long.MAX_VALUE);
      } catch (IOException e) {
        // The client closes connections whose response is invalid.
        assertThat(e).isNotNull();
      }
    }
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    loop.close();
  }

  private String baseUrl() {
    return "http://127.0.0.1:" + server.getLocalPort();
  }

  private HttpReply send() {
    return sender.send("GET", URI.create(baseUrl() + "/x"), new byte[0]).join();
  }

  /** Guards against a body of a store that is cut or holds the framing of chunks. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 9\r\n\r\n{}      }",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: x\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nA\u0001: b\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"
      })
  void reportsInvalidResponseAsLost(String text) {
    response = text;
    assertThat(send()).isInstanceOf(HttpReply.Lost.class);
  }

  /** Guards against a check that refuses what is only unusual. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 \r\nContent-Length:02\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2 \r\n\r\n{}",
        "HTTP/1.0 200 OK\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED \r\n\r\n2;a=b\r\n{}\r\n0\r\n\r\n"
      })
  void readsUnusualResponse(String text) {
    response = text;
    HttpReply.Response reply = (HttpReply.Response) send();
    assertThat(reply.status()).isEqualTo(200);
    assertThat(reply.text()).isEqualTo("{}");
  }

  /** Guards against a response without its body that is taken for one without rows or keys. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[],\"versions\":[],\"keys\":["
      })
  void takesNoCutBodyForAnEmptyResult(String text) {
    response = text;
    HttpTableService table = new HttpTableService(sender, baseUrl());
    HttpObjectStore objects = new HttpObjectStore(sender, baseUrl());

    assertThat(table.read(List.of("a")).join()).isInstanceOf(ReadResult.Failed.class);
    assertThat(table.transact(List.of(Mutation.insert("a", "{}"))).join())
        .isInstanceOf(WriteResult.Unknown.class);
    assertThat(objects.list("a").join()).isInstanceOf(ObjectStore.ListResult.Failed.class);
    assertThat(new HttpHostList(sender, baseUrl()).fetch().join()).isEmpty();
  }

  @Test
  void readsEmptyResults() {
    response =
        "HTTP/1.1 200 OK\r\n\r\n"
            + "{\"rows\":[],\"versions\":[1],\"keys\":[],\"hosts\":[],\"upstreams\":[]}";
    HttpTableService table = new HttpTableService(sender, baseUrl());

    assertThat(table.read(List.of("a")).join()).isInstanceOf(ReadResult.Rows.class);
    assertThat(table.transact(List.of(Mutation.insert("a", "{}"))).join())
        .isInstanceOf(WriteResult.Committed.class);
    assertThat(new HttpObjectStore(sender, baseUrl()).list("a").join())
        .isInstanceOf(ObjectStore.ListResult.Keys.class);
    assertThat(new HttpHostList(sender, baseUrl()).fetch().join()).isPresent();
  }
}
