package org.hibiscusreel.daemon.main;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import net.logstash.logback.encoder.LogstashEncoder;
import org.hibiscusreel.daemon.settings.DaemonSettings;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/** Configures the log to write JSON lines to the standard output. */
public final class LogSetup {

  private LogSetup() {}

  /**
   * Replaces the log configuration.
   *
   * @param level lowest level that is written
   * @param incarnation identifier of this run of the daemon, written to each line
   */
  public static void apply(DaemonSettings.Level level, String incarnation) {
    ILoggerFactory factory = LoggerFactory.getILoggerFactory();
    if (!(factory instanceof LoggerContext context)) {
      throw new IllegalStateException("Logback is not the log backend");
    }
    context.reset();
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setCustomFields("{\"incarnation\":\"" + incarnation + "\"}");
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.valueOf(level.name()));
    root.addAppender(appender);
    // These libraries log every connection error of a peer or caller, which is expected in
    // operation.
    context.getLogger("io.grpc").setLevel(Level.WARN);
    context.getLogger("io.activej").setLevel(Level.WARN);
  }
}
