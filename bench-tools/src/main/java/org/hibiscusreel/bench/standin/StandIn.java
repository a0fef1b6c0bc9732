package org.hibiscusreel.bench.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Command-line program that simulates one or more external systems on one address. */
public final class StandIn {

  private static final int EXIT_USAGE = 2;

  private StandIn() {}

  /**
   * Runs until the process is terminated.
   *
   * @param args the flags of {@link StandInSettings}
   * @throws IOException if the server can't listen on the address
   */
  public static void main(String[] args) throws IOException {
    PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    StandInSettings settings = new StandInSettings();
    try {
      JCommander.newBuilder().addObject(settings).programName("standin").build().parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
    Eventloop loop = Eventloop.builder().withCurrentThread().build();
    createServer(loop, settings).listen();
    loop.run();
  }

  /**
   * Creates the server without listening.
   *
   * @param reactor event loop that runs all roles
   * @param settings the settings
   * @return the server
   * @throws IllegalArgumentException if a role is unknown or the address is malformed
   */
  static HttpServer createServer(NioReactor reactor, StandInSettings settings) {
    Faults faults = new Faults();
    FaultInjector faultInjector = new FaultInjector(reactor, faults);
    for (String role : settings.roles) {
      faultInjector.add(
          switch (role) {
            case "table" ->
                new TableRole(
                    settings.writesPerSecond, settings.readsPerSecond, reactor::currentTimeMillis);
            case "objects" -> new ObjectsRole();
            case "hosts" -> new HostsRole(reactor, settings.hostsLagMs);
            case "engine" -> new EngineRole(reactor, faultInjector, faults, settings);
            case "service" -> new ServiceRole(faultInjector, faults, settings.serviceMs);
            default -> throw new IllegalArgumentException("unknown role: " + role);
          });
    }
    return HttpServer.builder(reactor, faultInjector)
        .withListenAddress(settings.address())
        .withKeepAliveTimeout(Duration.ofSeconds(60))
        .withReadWriteTimeout(Duration.ZERO)
        .withSocketInspector(faultInjector.socketTracker())
        .build();
  }
}
