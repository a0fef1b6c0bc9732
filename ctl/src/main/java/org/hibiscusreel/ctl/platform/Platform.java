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

/** The platform as the operator program reaches it. Each service is connected on first use. */
public final class Platform implements AutoCloseable {

  private final Scheduler scheduler;
  private final Supplier<TableService> table;
  private final Supplier<ObjectStore> objects;
  private final Supplier<HostList> hosts;
  private final Function<URI, CompletableFuture<HttpReply>> http;
  private final Runnable release;

  /**
   * Creates a platform.
   *
   * @param scheduler time and delayed tasks
   * @param table gives the table service
   * @param objects gives the object store
   * @param hosts gives the host list
   * @param http reads a page of a daemon's administrative service
   * @param release releases the threads
   * @throws NullPointerException if an argument is null
   */
  public Platform(
      Scheduler scheduler,
      Supplier<TableService> table,
      Supplier<ObjectStore> objects,
      Supplier<HostList> hosts,
      Function<URI, CompletableFuture<HttpReply>> http,
      Runnable release) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    this.table = Objects.requireNonNull(table, "table");
    this.objects = Objects.requireNonNull(objects, "objects");
    this.hosts = Objects.requireNonNull(hosts, "hosts");
    this.http = Objects.requireNonNull(http, "http");
    this.release = Objects.requireNonNull(release, "release");
  }

  /**
   * Connects over HTTP.
   *
   * @param tableUrl gives the base URL of the table service
   * @param objectsUrl gives the base URL of the object store
   * @param hostsUrl gives the base URL of the host list
   * @param timeoutMillis longest time of one request in milliseconds, positive
   * @return the platform
   */
  public static Platform connect(
      Supplier<String> tableUrl,
      Supplier<String> objectsUrl,
      Supplier<String> hostsUrl,
      long timeoutMillis) {
    EventLoop loop = new EventLoop();
    HttpSender sender = new HttpSender(loop, timeoutMillis);
    return new Platform(
        loop,
        () -> new HttpTableService(sender, tableUrl.get()),
        () -> new HttpObjectStore(sender, objectsUrl.get()),
        () -> new HttpHostList(sender, hostsUrl.get()),
        uri -> sender.send("GET", uri, new byte[0]),
        loop::close);
  }

  /**
   * Returns time and delayed tasks.
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
   * Reads a page of a daemon's administrative service.
   *
   * @param uri the page
   * @return the outcome
   */
  public CompletableFuture<HttpReply> get(URI uri) {
    return http.apply(uri);
  }

  @Override
  public void close() {
    release.run();
  }
}
