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

/** Program that plays one or more outside systems on one address. */
public final class StandIn {

  private static final int USAGE = 2;

  private StandIn() {}

  /**
   * Runs until the process is ended.
   *
   * @param args the flags of {@link StandInSettings}
   * @throws IOException if the address can't be listened on
   */
  public static void main(String[] args) throws IOException {
    PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    StandInSettings settings = new StandInSettings();
    try {
      JCommander.newBuilder().addObject(settings).programName("standin").build().parse(args);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      System.exit(USAGE);
    }
    Eventloop loop = Eventloop.builder().withCurrentThread().build();
    server(loop, settings).listen();
    loop.run();
  }

  /**
   * Creates the server without listening.
   *
   * @param reactor event loop of all roles
   * @param settings the settings
   * @return the server
   * @throws IllegalArgumentException if a role is unknown or the address is malformed
   */
  static HttpServer server(NioReactor reactor, StandInSettings settings) {
    Faults faults = new Faults();
    Gate gate = new Gate(reactor, faults);
    for (String role : settings.roles) {
      gate.add(
          switch (role) {
            case "table" ->
                new TableRole(
                    settings.writesPerSecond, settings.readsPerSecond, reactor::currentTimeMillis);
            case "objects" -> new ObjectsRole();
            case "hosts" -> new HostsRole(reactor, settings.hostsLagMs);
            case "engine" -> new EngineRole(reactor, gate, faults, settings);
            case "service" -> new ServiceRole(gate, faults, settings.serviceMs);
            default -> throw new IllegalArgumentException("unknown role: " + role);
          });
    }
    return HttpServer.builder(reactor, gate)
        .withListenAddress(settings.address())
        .withKeepAliveTimeout(Duration.ofSeconds(60))
        .withReadWriteTimeout(Duration.ZERO)
        .withSocketInspector(gate.sockets())
        .build();
  }
}
