package org.hibiscusreel.testsupport;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import javax.net.SocketFactory;

/**
 * Clients of a server on a loopback address that send at the same time, each on a connection and a
 * thread of its own. A client keeps its connection open until the server closes it, and then begins
 * again a few times.
 */
public final class ClientCrowd implements AutoCloseable {

  private static final Logger LOG = System.getLogger(ClientCrowd.class.getName());
  private static final int ROUNDS = 3;
  private static final long STACK_BYTES = 256 * 1024;
  private static final int UNREAD_BUFFER_BYTES = 8_192;
  private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

  private final SocketFactory factory;
  private final InetSocketAddress server;
  private final int bodyBytes;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Thread> threads = new ArrayList<>();
  private final CountDownLatch sending;
  private final CountDownLatch closing = new CountDownLatch(1);
  private volatile boolean closed;

  /**
   * One client.
   *
   * @param form what it sends
   * @param head request line and fields, each with its line end
   * @param reads whether it reads what the server sends
   */
  public record Client(ClientForm form, String head, boolean reads) {

    /**
     * Creates a client that reads what the server sends.
     *
     * @param form what it sends
     * @param head request line and fields, each with its line end
     */
    public Client(ClientForm form, String head) {
      this(form, head, true);
    }
  }

  /**
   * Starts a crowd.
   *
   * @param server address that the clients connect to
   * @param count number of clients
   * @param bodyBytes size of their bodies, in bytes
   * @param clients returns the client with a number from 0
   */
  public ClientCrowd(
      InetSocketAddress server, int count, int bodyBytes, IntFunction<Client> clients) {
    this(SocketFactory.getDefault(), server, count, bodyBytes, clients);
  }

  /**
   * Starts a crowd with sockets of a kind, for instance those of TLS.
   *
   * @param factory creates the sockets
   * @param server address that the clients connect to
   * @param count number of clients
   * @param bodyBytes size of their bodies, in bytes
   * @param clients returns the client with a number from 0
   */
  public ClientCrowd(
      SocketFactory factory,
      InetSocketAddress server,
      int count,
      int bodyBytes,
      IntFunction<Client> clients) {
    this.factory = factory;
    this.server = server;
    this.bodyBytes = bodyBytes;
    this.sending = new CountDownLatch(count);
    for (int i = 0; i < count; i++) {
      Client client = clients.apply(i);
      Thread thread = new Thread(null, () -> run(client), "client-" + i, STACK_BYTES);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void run(Client client) {
    for (int round = 0; round < ROUNDS && !closed; round++) {
      boolean isFirst = round == 0;
      try (Socket socket = factory.createSocket()) {
        sockets.add(socket);
        if (!client.reads()) {
          socket.setReceiveBufferSize(UNREAD_BUFFER_BYTES);
        }
        connect(socket, isFirst);
        sendAll(client, socket, isFirst);
        if (!client.reads()) {
          closing.await();
          return;
        }
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
      } catch (IOException e) {
        LOG.log(Level.DEBUG, "a client was refused", e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void connect(Socket socket, boolean isFirst) throws IOException {
    try {
      socket.connect(server, CONNECT_TIMEOUT_MILLIS);
    } catch (IOException e) {
      if (isFirst) {
        sending.countDown();
      }
      throw e;
    }
  }

  private void sendAll(Client client, Socket socket, boolean isFirst) throws IOException {
    try {
      client.form().send(socket.getOutputStream(), client.head(), bodyBytes);
    } finally {
      if (isFirst) {
        sending.countDown();
      }
    }
  }

  /**
   * Waits until each client has sent all its bytes once, or was refused. A server that leaves bytes
   * unread keeps its clients sending, so that the wait is bounded.
   *
   * @param millis longest wait, in milliseconds
   * @throws InterruptedException if interrupted
   */
  public void awaitSent(long millis) throws InterruptedException {
    if (!sending.await(millis, TimeUnit.MILLISECONDS)) {
      LOG.log(Level.INFO, "{0} clients are still sending", sending.getCount());
    }
  }

  /**
   * Waits until all clients have ended. Those whose connections stay open don't, so that the wait
   * is bounded.
   *
   * @param millis longest wait, in milliseconds
   * @throws InterruptedException if interrupted
   */
  public void awaitEnd(long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    for (Thread t : threads) {
      long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (left > 0) {
        t.join(left);
      }
    }
  }

  /** Closes all connections and ends all clients. */
  @Override
  public void close() throws InterruptedException {
    closed = true;
    closing.countDown();
    for (Thread t : threads) {
      while (t.isAlive()) {
        sockets.forEach(ClientCrowd::closeQuietly);
        t.join(10);
      }
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "a socket can't be closed", e);
    }
  }
}
