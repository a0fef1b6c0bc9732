package org.hibiscusreel.daemon.forward;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.hibiscusreel.daemon.http.HttpLibrary;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.MonotonicTimeProvider;
import org.hibiscusreel.daemon.main.HangUpSignal;
import org.hibiscusreel.daemon.main.Incarnations;
import org.hibiscusreel.daemon.main.LogSetup;
import org.hibiscusreel.daemon.settings.DaemonSettings;

/** Runs a {@link ForwardDaemon} in this process until a signal stops it. */
public final class ForwardProcess {

  /** The process stopped normally. */
  public static final int EXIT_OK = 0;

  /** The process cannot start, for example because a port is taken. */
  public static final int EXIT_CANNOT_START = 1;

  /** The command line or the settings are invalid. */
  public static final int EXIT_USAGE = 2;

  private ForwardProcess() {}

  /**
   * Runs a daemon.
   *
   * @param host name of the host
   * @param settings creates the settings for an incarnation
   * @param ports creates the external services and message formats for an event loop
   * @return exit status
   */
  public static int run(
      String host,
      Function<String, ForwardDaemon.Settings> settings,
      Function<NioReactor, ForwardDaemon.Dependencies> ports) {
    HttpLibrary.configure();
    String incarnation = Incarnations.create(host, System.currentTimeMillis());
    LogSetup.apply(DaemonSettings.Level.INFO, incarnation);
    Logger log = System.getLogger(ForwardProcess.class.getName());
    MonotonicTimeProvider time = new MonotonicTimeProvider();
    Eventloop loop = Eventloop.builder().withTimeProvider(time).build();
    loop.keepAlive(true);
    CompletableFuture<Void> failed = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            EventLoopScheduler scheduler = new EventLoopScheduler(loop, time);
            JsonDecisionLog decisions =
                new JsonDecisionLog(System.out, incarnation, System::currentTimeMillis);
            ForwardDaemon.Settings daemonSettings = settings.apply(incarnation);
            ForwardDaemon daemon =
                new ForwardDaemon(daemonSettings, ports.apply(loop), loop, scheduler, decisions);
            daemon.start();
            HangUpSignal.handle(() -> loop.execute(daemon::onSettingsChanged));
            stopOnSignal(daemon, daemonSettings.graceMillis(), loop);
          } catch (IOException | RuntimeException e) {
            log.log(Level.ERROR, "cannot start", e);
            failed.completeExceptionally(e);
            loop.keepAlive(false);
            loop.breakEventloop();
          }
        });
    loop.run();
    return failed.isCompletedExceptionally() ? EXIT_CANNOT_START : EXIT_OK;
  }

  private static void stopOnSignal(ForwardDaemon daemon, long graceMillis, Eventloop loop) {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    Runnable hook =
        () -> {
          loop.execute(
              () -> {
                var unused = daemon.stop().thenAccept(v -> stopped.complete(null));
              });
          try {
            stopped.get(graceMillis, TimeUnit.MILLISECONDS);
          } catch (InterruptedException | ExecutionException | TimeoutException e) {
            System.getLogger(ForwardProcess.class.getName())
                .log(Level.ERROR, "the graceful stop timed out", e);
          }
          // Overrides the JVM's exit status of 143 after SIGTERM, because a planned stop is not a
          // failure.
          Runtime.getRuntime().halt(EXIT_OK);
        };
    Runtime.getRuntime().addShutdownHook(new Thread(hook, "graceful-stop"));
  }
}
