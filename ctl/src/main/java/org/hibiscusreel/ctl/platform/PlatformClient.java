package org.hibiscusreel.ctl.platform;

import java.net.URI;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;

/**
 * Access to the services of the platform. The URL of a service is needed only when the service is
 * first used.
 */
public final class PlatformClient implements AutoCloseable {

  private final Scheduler scheduler;
  private final Supplier<TableService> table;
  private final Supplier<ObjectStore> objects;
  private final Supplier<HostList> hosts;
  private final Function<URI, CompletableFuture<HttpReply>> adminGet;
  private final Runnable closeAction;

  /**
   * Creates a client.
   *
   * @param scheduler clock and timer
   * @param table supplies the table service
   * @param objects supplies the object store
   * @param hosts supplies the host list
   * @param adminGet sends a GET request to the administrative server of a daemon
   * @param closeAction stops the threads
   * @throws NullPointerException if an argument is null
   */
  public PlatformClient(
      Scheduler scheduler,
      Supplier<TableService> table,
      Supplier<ObjectStore> objects,
      Supplier<HostList> hosts,
      Function<URI, CompletableFuture<HttpReply>> adminGet,
      Runnable closeAction) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.objects = Objects.requireNonNull(objects, "objects");
    this.hosts = Objects.requireNonNull(hosts, "hosts");
    this.adminGet = Objects.requireNonNull(adminGet, "adminGet");
    this.closeAction = Objects.requireNonNull(closeAction, "closeAction");
  }

  /**
   * Creates a client that uses HTTP.
   *
   * @param tableUrl supplies the base URL of the table service
   * @param objectsUrl supplies the base URL of the object store
   * @param hostsUrl supplies the base URL of the host list
   * @param timeoutMillis timeout of a request in milliseconds, positive
   * @return the client
   */
  public static PlatformClient connect(
      Supplier<String> tableUrl,
      Supplier<String> objectsUrl,
      Supplier<String> hostsUrl,
      long timeoutMillis) {
    EventLoop loop = new EventLoop();
    HttpSender sender = new HttpSender(loop, timeoutMillis);
    return new PlatformClient(
        loop,
        () -> new HttpTableService(sender, tableUrl.get()),
        () -> new HttpObjectStore(sender, objectsUrl.get()),
        () -> new HttpHostList(sender, hostsUrl.get()),
        uri -> sender.send("GET", uri, new byte[0]),
        loop::close);
  }

  /**
   * Returns the clock and timer.
   *
   * @return the scheduler
   */
  public Scheduler scheduler() {
    return scheduler;
  }

  /**
   * Returns the table service.
   *
   * @return the service
   */
  public TableService table() {
    return table.get();
  }

  /**
   * Returns the object store.
   *
   * @return the store
   */
  public ObjectStore objects() {
    return objects.get();
  }

  /**
   * Returns the host list.
   *
   * @return the list
   */
  public HostList hosts() {
    return hosts.get();
  }

  /**
   * Sends a GET request to the administrative server of a daemon.
   *
   * @param uri the URI to read
   * @return the outcome
   */
  public CompletableFuture<HttpReply> getFromDaemon(URI uri) {
    return adminGet.apply(uri);
  }

  @Override
  public void close() {
    closeAction.run();
  }
}
