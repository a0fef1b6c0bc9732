import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request of a resumable route crashes each engine that begins to run it: the engine sends the
 * first event and ends, and is back some seconds later. The request comes again every two seconds,
 * with the same path, caller and body, at any machine. Once it is refused everywhere, the processes
 * of all machines are killed and started again, and from when they are in touch it comes again.
 * Sound streams, which may not be resumed, go on beside it.
 */
public final class PoisonCase {

  private static final int MACHINES = 3;
  private static final int ENGINES = 8;

  /** Number of times that the request comes before and after the processes are killed. */
  private static final int COMINGS = 8;

  private static final long INTERVAL_MILLIS = 2_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long BACK_MILLIS = 3_000;

  /** Arrivals later than the contact time after the third crash that the rule allows. */
  private static final int ALLOWED = 3;

  private static final int EVENTS = 24;
  private static final AtomicInteger ids = new AtomicInteger();
  private static final List<Double> crashes = new CopyOnWriteArrayList<>();
  private static final List<Double> arrivals = new CopyOnWriteArrayList<>();
  private static final AtomicInteger soundDone = new AtomicInteger();
  private static final AtomicInteger soundBroken = new AtomicInteger();

  private static Kit.Store store;

  private PoisonCase() {}

  /** An engine with its open connections, which end when it crashes. */
  private static final class Crashing {
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Kit.Engine engine;
    private volatile boolean hasCrashed;

    Crashing() throws IOException {
      engine = new Kit.Engine("i-" + ids.incrementAndGet(), "pool", this::serve);
      engine.register(store, "ready", "1");
    }

    private void serve(Kit.Engine e, Kit.Message m, Socket s) throws IOException {
      sockets.add(s);
      if (hasCrashed) {
        reset(s);
        return;
      }
      Kit.note("run %s at %s", m.field("Attempt-Id"), e.id);
      boolean isPoison = m.startLine().contains("/poison ");
      if (isPoison) {
        arrivals.add(Kit.seconds());
        Kit.log("%s reaches %s", m.field("Attempt-Id"), e.id);
      }
      int from = m.field("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(m.field("Last-Event-Id"));
      Kit.sleep(20);
      OutputStream out = s.getOutputStream();
      out.write(
          ("HTTP/1.1 200 OK\r\nAttempt-Id: " + m.field("Attempt-Id") + "\r\nServer-Seal: s\r\n"
                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      for (int i = from + 1; i <= EVENTS; i++) {
        String ev = "id: " + i + "\ndata: x\n\n";
        out.write((Integer.toHexString(ev.length()) + "\r\n" + ev + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        Kit.sleep(20);
        if (isPoison) {
          crash();
          return;
        }
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      sockets.remove(s);
    }

    private void crash() throws IOException {
      hasCrashed = true;
      crashes.add(Kit.seconds());
      Kit.log("%s crashes", engine.id);
      engine.close();
      for (Socket s : sockets) {
        reset(s);
      }
      Kit.daemonThread(
              () -> {
                Kit.sleep(BACK_MILLIS);
                try {
                  store.remove("servers", engine.id);
                  new Crashing();
                } catch (IOException x) {
                  Kit.log("an engine is not back: %s", x);
                }
              })
          .start();
    }

    private static void reset(Socket s) throws IOException {
      s.setSoLinger(true, 0);
      s.close();
    }
  }

  private static void send(Kit.Daemon d, boolean isPoison) {
    String id = (isPoison ? "poison-" : "sound-") + ids.incrementAndGet();
    String target = isPoison ? "/draft/poison" : "/review/" + id;
    String parts = isPoison ? "c0:700,c1:300" : "aa:700,b" + Integer.toHexString(id.hashCode()) + ":300";
    String result;
    try (Socket s = d.connect()) {
      s.setSoTimeout(9_000);
      String head =
          Kit.head("POST", target, id, 8_000) + "Model: m\r\nToken-Usage: 1000,120\r\nPrompt-Prefix: "
              + parts + "\r\nContent-Length: 0\r\n\r\n";
      s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      Kit.Message m = Kit.readMessage(s.getInputStream(), true);
      result = m == null ? "closed" : Integer.toString(m.status());
    } catch (IOException e) {
      result = "broken off";
    }
    if (isPoison) {
      Kit.log("%s at %s: %s", id, d.name, result);
    } else {
      Kit.note("%s at %s: %s", id, d.name, result);
      (result.equals("200") ? soundDone : soundBroken).incrementAndGet();
    }
  }

  private static void come(List<Kit.Daemon> daemons) {
    for (int i = 0; i < COMINGS; i++) {
      send(daemons.get(i % MACHINES), true);
      Kit.sleep(INTERVAL_MILLIS);
    }
  }

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0], "record.txt"));
    int code = 2;
    List<Kit.Daemon> daemons = new ArrayList<>();
    try (Kit.Store s = new Kit.Store()) {
      store = s;
      Path folder = Kit.newFolder();
      store.put("op", "config", Kit.configuration(7).toString());
      for (int i = 0; i < ENGINES; i++) {
        new Crashing();
      }
      for (int i = 0; i < MACHINES; i++) {
        Kit.Daemon d = new Kit.Daemon("front-" + i, folder, store.address(), Kit.newAddress());
        daemons.add(d);
        d.start();
      }
      for (Kit.Daemon d : daemons) {
        d.awaitReady();
      }
      Kit.sleep(6_000);
      boolean[] isOver = new boolean[1];
      for (int t = 0; t < 9; t++) {
        Kit.Daemon d = daemons.get(t % MACHINES);
        Kit.daemonThread(
                () -> {
                  while (!isOver[0]) {
                    send(d, false);
                    Kit.sleep(100);
                  }
                })
            .start();
      }
      Kit.sleep(3_000);
      come(daemons);
      final int crashesBefore = crashes.size();
      if (Kit.hasTrouble()) {
        for (Kit.Daemon d : daemons) {
          d.process.destroyForcibly().waitFor();
          Kit.log("SIGKILL to %s", d.name);
        }
        for (Kit.Daemon d : daemons) {
          d.start();
        }
        for (Kit.Daemon d : daemons) {
          d.awaitReady();
        }
        Kit.log("all machines are back");
      }
      Kit.sleep(CONTACT_MILLIS + 500);
      Kit.log("all machines are in touch");
      come(daemons);
      isOver[0] = true;
      Kit.log("%d engines crashed before the kill, %d after it", crashesBefore, crashes.size() - crashesBefore);
      double third = crashes.size() < 3 ? Double.MAX_VALUE : crashes.get(2);
      long late = arrivals.stream().filter(a -> a > third + CONTACT_MILLIS / 1000.0).count();
      Kit.log("sound streams: %d complete, %d broken off or refused", soundDone.get(), soundBroken.get());
      Kit.log("%d engines crashed; %d arrivals later than %d ms after the third crash, %d are allowed", crashes.size(), late, CONTACT_MILLIS, ALLOWED);
      code = late > ALLOWED ? 1 : 0;
    } catch (Exception e) {
      Kit.log("could not run: %s", e);
    } finally {
      daemons.forEach(Kit.Daemon::close);
    }
    Kit.log("exit %d", code);
    System.exit(code);
  }
}
