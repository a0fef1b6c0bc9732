package org.hibiscusreel.daemon.main;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hibiscusreel.daemon.http.HttpLibrary;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.hibiscusreel.daemon.settings.SettingsException;
import org.hibiscusreel.daemon.settings.SettingsReader;

/** Entry point of {@code bin/hibiscusreel}. */
public final class Main {

  /** The process stopped normally. */
  static final int EXIT_OK = 0;

  /** The process cannot start, for example because a port is taken. */
  static final int EXIT_CANNOT_START = 1;

  /** The command line or the settings are invalid. */
  static final int EXIT_USAGE = 2;

  /**
   * Time that a graceful stop may take beyond the drain timeout, in order to return allotments, in
   * milliseconds.
   */
  private static final long STOP_MARGIN_MILLIS = 15_000;

  private static final String PROGRAM = "hibiscusreel";

  private final PrintStream out;
  private final PrintStream err;

  Main(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the daemon until a signal stops it.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    HttpLibrary.configure();
    int status = new Main(System.out, System.err).run(arguments);
    // Threads of gRPC or of a blocked stop must not keep the process alive. If a shutdown hook is
    // running, the hook sets the exit status.
    Runtime.getRuntime().halt(status);
  }

  /** Runs the command line and returns the exit status. */
  int run(String... arguments) {
    Options options = new Options();
    JCommander commander = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return EXIT_USAGE;
    }
    if (options.help) {
      StringBuilder text = new StringBuilder();
      commander.getUsageFormatter().usage(text);
      out.print(text);
      return EXIT_OK;
    }
    if (options.version) {
      String release = Main.class.getPackage().getImplementationVersion();
      out.println(PROGRAM + " " + (release == null ? "development" : release));
      return EXIT_OK;
    }
    if (options.settings == null) {
      err.println(PROGRAM + ": --settings FILE is required");
      return EXIT_USAGE;
    }
    DaemonSettings settings;
    try {
      settings = SettingsReader.read(Path.of(options.settings));
    } catch (SettingsException e) {
      err.println(PROGRAM + ": " + e.getMessage());
      return EXIT_USAGE;
    }
    if (options.check) {
      out.println(options.settings + ": valid");
      return EXIT_OK;
    }
    return serve(settings);
  }

  private int serve(DaemonSettings settings) {
    String incarnation = Incarnations.create(settings.host().name(), System.currentTimeMillis());
    LogSetup.apply(settings.log().level(), incarnation);
    Logger log = System.getLogger(Main.class.getName());
    Eventloop loop = Eventloop.create();
    loop.keepAlive(true);
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            Daemon daemon = Daemon.start(settings, incarnation, DefaultNode::new, loop);
            stopOnSignal(daemon, settings, loop);
            started.complete(null);
          } catch (IOException | GeneralSecurityException | RuntimeException e) {
            log.log(Level.ERROR, "cannot start", e);
            err.println(PROGRAM + ": cannot start: " + e);
            started.completeExceptionally(e);
            loop.keepAlive(false);
            loop.breakEventloop();
          }
        });
    loop.run();
    if (started.isCompletedExceptionally()) {
      return EXIT_CANNOT_START;
    }
    return EXIT_OK;
  }

  private static void stopOnSignal(Daemon daemon, DaemonSettings settings, Eventloop loop) {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    long timeoutMillis = settings.limits().drainTimeoutMs() + STOP_MARGIN_MILLIS;
    Runnable hook =
        () -> {
          loop.execute(
              () -> {
                var unused = daemon.stop().thenAccept(v -> stopped.complete(null));
              });
          try {
            stopped.get(timeoutMillis, TimeUnit.MILLISECONDS);
          } catch (InterruptedException | ExecutionException | TimeoutException e) {
            System.getLogger(Main.class.getName())
                .log(Level.ERROR, "the graceful stop timed out", e);
          }
          // Overrides the JVM's exit status of 143 after SIGTERM, because a planned stop is not a
          // failure.
          Runtime.getRuntime().halt(EXIT_OK);
        };
    Runtime.getRuntime().addShutdownHook(new Thread(hook, "graceful-stop"));
  }
}
