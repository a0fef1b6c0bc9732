import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The engines of a service say that they are brittle. From the contact time later they let no
 * request wait: one whose prompt and output don't fit into the memory that is left is turned away,
 * and an engine that turns away more than it survives in a second ends and is back some seconds
 * later. Prompts differ in size as those of the site do.
 */
public final class BrittleCase {

  private static final int MACHINES = 3;
  private static final int ENGINES = 8;
  private static final long MEMORY_TOKENS = 447_736;
  private static final int SLOTS = 64;
  private static final int SURVIVED = Integer.getInteger("survived", 0);
  private static final long CONTACT_MILLIS = 3_000;
  private static final long BRITTLE_MILLIS = 18_000;
  private static final long BACK_MILLIS = 3_000;
  private static final int EVENTS = 24;
  private static final long EVENT_MILLIS = 70;
  private static final int MAX_OUTPUT = EVENTS * 5;

  /** Requests a second, half again as many as the engines can take. */
  private static final int PER_SECOND = 140;

  private static final double ALLOWED = 2 + ENGINES / 10.0;
  private static final AtomicInteger ids = new AtomicInteger();
  private static final AtomicInteger falls = new AtomicInteger();
  private static final AtomicInteger complete = new AtomicInteger();
  private static final AtomicInteger refused = new AtomicInteger();
  private static final AtomicInteger broken = new AtomicInteger();
  private static volatile long brittleSince = Long.MAX_VALUE;
  private static Kit.Store store;

  private BrittleCase() {}

  private static boolean isBrittle() {
    return System.nanoTime() / 1_000_000 >= brittleSince;
  }

  private static boolean letsNoneWait() {
    return isBrittle() && System.nanoTime() / 1_000_000 >= brittleSince + CONTACT_MILLIS;
  }

  private static final class Brittle {
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Deque<Long> rejectedAt = new ArrayDeque<>();
    private final Kit.Engine engine;
    private long usedTokens;
    private int running;
    private boolean isDown;

    Brittle() throws IOException {
      engine = new Kit.Engine("i-" + ids.incrementAndGet(), "pool", SLOTS, this::serve);
      engine.register(store, "ready", "1");
    }

    /** A request that has begun to wait before goes on to wait. */
    private synchronized boolean admit(long tokens) throws IOException {
      boolean mayWait = !letsNoneWait();
      while (!isDown && (usedTokens + tokens > MEMORY_TOKENS || running == SLOTS)) {
        if (!mayWait) {
          return false;
        }
        try {
          wait(50);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      if (isDown) {
        throw new IOException("the engine has ended");
      }
      usedTokens += tokens;
      running++;
      return true;
    }

    private synchronized void release(long tokens) {
      usedTokens -= tokens;
      running--;
      notifyAll();
    }

    private void serve(Kit.Engine e, Kit.Message m, Socket s) throws IOException {
      sockets.add(s);
      String[] usage = m.field("Token-Usage").split(",");
      long tokens = Long.parseLong(usage[0]) + Long.parseLong(usage[1]);
      String common = "Attempt-Id: " + m.field("Attempt-Id") + "\r\n" + (isBrittle() ? "Server-Brittle: " + SURVIVED + "\r\n" : "");
      OutputStream out = s.getOutputStream();
      if (!admit(tokens)) {
        Kit.note("%s turns %s away, %d tokens, %d of %d in use by %d", e.id, m.field("Attempt-Id"), tokens, usedTokens, MEMORY_TOKENS, running);
        out.write(("HTTP/1.1 503 Full\r\n" + common + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        sockets.remove(s);
        onRejected();
        return;
      }
      try {
        Kit.note("run %s at %s", m.field("Attempt-Id"), e.id);
        Kit.sleep(20 + tokens / 56);
        out.write(
            ("HTTP/1.1 200 OK\r\n" + common + "Server-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= EVENTS; i++) {
          String ev = "id: " + i + "\ndata: x\n\n";
          out.write((Integer.toHexString(ev.length()) + "\r\n" + ev + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
          Kit.sleep(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      } finally {
        release(tokens);
        sockets.remove(s);
      }
    }

    private synchronized void onRejected() throws IOException {
      long now = System.nanoTime() / 1_000_000;
      rejectedAt.add(now);
      rejectedAt.removeIf(at -> now - at >= 1_000);
      if (isDown || rejectedAt.size() <= SURVIVED) {
        return;
      }
      isDown = true;
      falls.incrementAndGet();
      Kit.log("%s falls over, %d requests run on it", engine.id, running);
      engine.close();
      Kit.daemonThread(
              () -> {
                try {
                  Kit.sleep(5); // the refusal is read first
                  for (Socket s : sockets) {
                    reset(s);
                  }
                  Kit.sleep(BACK_MILLIS);
                  store.remove("servers", engine.id);
                  new Brittle();
                } catch (IOException x) {
                  Kit.log("an engine is not back: %s", x);
                }
              })
          .start();
    }
  }

  private static void reset(Socket s) {
    try {
      s.setSoLinger(true, 0);
      s.close();
    } catch (IOException e) {
      // It was closed before.
    }
  }

  private static void send(Kit.Daemon d, long prompt) {
    String id = "b" + ids.incrementAndGet();
    try (Socket s = d.connect()) {
      s.setSoTimeout(9_000);
      String head =
          Kit.head("POST", "/review/" + id, id, 5_000) + "Model: m\r\nToken-Usage: " + prompt + "," + MAX_OUTPUT
              + "\r\nPrompt-Prefix: f" + Integer.toHexString(id.hashCode()) + ":" + prompt + "\r\nContent-Length: 0\r\n\r\n";
      s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      Kit.Message m = Kit.readMessage(s.getInputStream(), true);
      int status = m == null ? 0 : m.status();
      Kit.note("answer %s at %s: %d", id, d.name, status);
      (status == 200 ? complete : status == 503 ? refused : broken).incrementAndGet();
    } catch (IOException e) {
      Kit.note("answer %s at %s: broken off", id, d.name);
      broken.incrementAndGet();
    }
  }

  public static void main(String[] args) throws Exception {
    Kit.openRecord(Path.of(args[0], "record.txt"));
    int code = 2;
    List<Kit.Daemon> daemons = new ArrayList<>();
    try (Kit.Store s = new Kit.Store()) {
      store = s;
      Path folder = Kit.newFolder();
      store.put("op", "config", Kit.configuration(7).toString().replace("100000000", "100000000000"));
      for (int i = 0; i < ENGINES; i++) {
        new Brittle();
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
      Random random = new Random(Long.getLong("seed", 7));
      ExecutorService clients = Executors.newFixedThreadPool(600, Kit::daemonThread);
      long begin = System.nanoTime();
      boolean isBegun = false;
      for (int i = 0; ; i++) {
        long at = i * 1_000L / PER_SECOND;
        if (!isBegun && at >= 4_000) {
          isBegun = true;
          if (Kit.hasTrouble()) {
            brittleSince = System.nanoTime() / 1_000_000;
            Kit.log("the engines say that they are brittle");
          }
        }
        if (at > 4_000 + BRITTLE_MILLIS) {
          break;
        }
        Kit.sleep(at - (System.nanoTime() - begin) / 1_000_000);
        // The mean is 17,000 tokens, the largest 93,000, as those of release-summary.
        long prompt = (long) Math.min(93_000, 13_400 * Math.exp(0.7 * random.nextGaussian()));
        Kit.Daemon d = daemons.get(i % MACHINES);
        clients.submit(() -> send(d, Math.max(500, prompt)));
      }
      Kit.sleep(4_000);
      Kit.log("streams: %d complete, %d refused, %d broken off or failed", complete.get(), refused.get(), broken.get());
      Kit.log("%d falls of %d engines, %.1f are allowed", falls.get(), ENGINES, ALLOWED);
      code = falls.get() > ALLOWED ? 1 : 0;
    } catch (Exception e) {
      Kit.log("could not run: %s", e);
    } finally {
      daemons.forEach(Kit.Daemon::close);
    }
    Kit.log("exit %d", code);
    System.exit(code);
  }
}
