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
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.SteadyTime;
import org.hibiscusreel.daemon.main.HangUpSignal;
import org.hibiscusreel.daemon.main.Incarnations;
import org.hibiscusreel.daemon.main.LogSetup;
import org.hibiscusreel.daemon.settings.DaemonSettings;

/** Runs a {@link ForwardDaemon} in this process until it is told to stop. */
public final class ForwardProcess {

  /** The process ran and stopped as asked. */
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
   * @param settings settings for an incarnation
   * @param ports what connects the daemon to its surroundings
   * @return exit status
   */
  public static int run(
      String host,
      Function<String, ForwardDaemon.Settings> settings,
      Function<NioReactor, ForwardDaemon.Ports> ports) {
    String incarnation = Incarnations.create(host, System.currentTimeMillis());
    LogSetup.apply(DaemonSettings.Level.INFO, incarnation);
    Logger log = System.getLogger(ForwardProcess.class.getName());
    SteadyTime time = new SteadyTime();
    Eventloop loop = Eventloop.builder().withTimeProvider(time).build();
    loop.keepAlive(true);
    CompletableFuture<Void> failed = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            EventLoopScheduler scheduler = new EventLoopScheduler(loop, time);
            JsonDecisionLog decisions =
                new JsonDecisionLog(System.out, incarnation, System::currentTimeMillis);
            ForwardDaemon.Settings s = settings.apply(incarnation);
            ForwardDaemon d = new ForwardDaemon(s, ports.apply(loop), loop, scheduler, decisions);
            d.start();
            HangUpSignal.handle(() -> loop.execute(d::onSettingsChanged));
            stopOnSignal(d, s.graceMillis(), loop);
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
                .log(Level.ERROR, "the graceful stop did not end in time", e);
          }
          // After SIGTERM the JVM exits with status 143, but a planned stop is no failure.
          Runtime.getRuntime().halt(EXIT_OK);
        };
    Runtime.getRuntime().addShutdownHook(new Thread(hook, "graceful-stop"));
  }
}
