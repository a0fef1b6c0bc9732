package org.hibiscusreel.daemon.main;

import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which otherwise terminates the JVM. The only API is {@code sun.misc.Signal},
 * which is called by reflection because its direct use causes a compiler warning that can't be
 * suppressed.
 */
public final class HangUpSignal {

  private HangUpSignal() {}

  /**
   * Runs a task at each SIGHUP instead of terminating the process.
   *
   * @param task the task, called on a thread of the JVM
   */
  public static void handle(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (p, method, args) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
    } catch (ReflectiveOperationException e) {
      System.getLogger(HangUpSignal.class.getName())
          .log(Level.WARNING, "cannot handle SIGHUP, which will terminate the process", e);
    }
  }
}
