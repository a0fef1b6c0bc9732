package org.hibiscusreel.bench.streams;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.coordination.forward.CallerExchange;
import org.hibiscusreel.coordination.forward.CallerRequest;
import org.hibiscusreel.coordination.forward.Forwarder;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.Refusal;
import org.hibiscusreel.core.forward.StreamOrigin;

/** Caller that begins a stream and takes it up at further daemons when it breaks. */
final class ModelCaller {

  private static final long DEADLINE_MILLIS = 10_000;
  private static final long SILENCE_MILLIS = 2_500;
  private static final long UNSEEN_BREAK_MILLIS = 1_500;
  private static final int MAX_REQUESTS = 10;

  /** What the caller knows of the fleet. */
  interface Fleet {

    /** Returns the daemon with an index, if it accepts connections. */
    Optional<ModelDaemon> daemon(int index);

    /** Returns what the daemon was in trouble with, if it could go on with a stream. */
    Optional<String> trouble(int index, StreamOrigin origin, boolean isNamed);

    /** Called with what became of a stream that was taken up. */
    void onTakenUp(String trouble, String result);
  }

  private final VirtualTime time;
  private final PlanEvent.Begin plan;
  private final Fleet fleet;
  private final Set<StreamOrigin> origins = new LinkedHashSet<>();
  private final List<String> history = new ArrayList<>();
  private Connection current;
  private String firstRequest = "";
  private int lastEvent;
  private int requests;
  private boolean isDone;

  ModelCaller(VirtualTime time, PlanEvent.Begin plan, Fleet fleet) {
    this.time = time;
    this.plan = plan;
    this.fleet = fleet;
  }

  /** Returns services and versions of the events that the caller got. */
  Set<StreamOrigin> origins() {
    return origins;
  }

  String stream() {
    return plan.stream();
  }

  /** Returns what the caller saw, one line each. */
  List<String> history() {
    return history;
  }

  void request() {
    if (isDone || requests >= MAX_REQUESTS || remainingMillis() <= 0) {
      isDone = true;
      return;
    }
    int index = plan.daemons().get(requests % plan.daemons().size());
    requests++;
    Optional<ModelDaemon> daemon = fleet.daemon(index);
    if (daemon.isEmpty()) {
      time.schedule(plan.pauseMillis(), this::request);
      return;
    }
    Connection c = new Connection(plan.stream() + "." + requests, daemon.get());
    current = c;
    if (lastEvent > 0) {
      c.trouble = fleet.trouble(index, origins.iterator().next(), plan.named());
    }
    note(c.id + " to " + daemon.get().host() + " after event " + lastEvent);
    c.open();
    if (requests <= plan.breaksAfterMillis().size()) {
      time.schedule(
          plan.breaksAfterMillis().get(requests - 1), () -> abandon(c, "connection breaks"));
    }
    time.schedule(SILENCE_MILLIS, () -> checkSilence(c));
  }

  private void note(String text) {
    history.add(time.nowMillis() + " ms: " + text);
  }

  private long remainingMillis() {
    return plan.atMillis() + DEADLINE_MILLIS - time.nowMillis();
  }

  private void checkSilence(Connection c) {
    if (c != current) {
      return;
    }
    if (time.nowMillis() - c.lastByteMillis >= SILENCE_MILLIS) {
      abandon(c, "silent");
    } else {
      time.schedule(c.lastByteMillis + SILENCE_MILLIS - time.nowMillis(), () -> checkSilence(c));
    }
  }

  private void abandon(Connection c, String reason) {
    if (c == current) {
      c.close();
      endRequest(c, reason, plan.pauseMillis());
    }
  }

  private void endRequest(Connection c, String reason, long pauseMillis) {
    note(c.id + " ended: " + reason);
    c.result(reason);
    current = null;
    time.schedule(pauseMillis, this::request);
  }

  private CallerRequest toRequest(String id) {
    boolean isTakenUp = lastEvent > 0;
    String path = RouteConfiguration.PATH_PREFIX + plan.stream();
    return new CallerRequest(
        id,
        "POST",
        RouteConfiguration.HOST,
        path,
        path,
        Optional.empty(),
        Optional.of(remainingMillis()),
        Optional.empty(),
        isTakenUp
            ? List.of(new HeaderField(ModelUpstreams.LAST_EVENT, String.valueOf(lastEvent)))
            : List.of(),
        plan.stream().getBytes(StandardCharsets.UTF_8),
        isTakenUp
            ? Optional.of(
                new CallerRequest.Resumption(Optional.of(firstRequest).filter(r -> plan.named())))
            : Optional.empty(),
        Optional.empty());
  }

  /** Connection with one request; its methods as an exchange run in the daemon. */
  private final class Connection implements CallerExchange, ModelDaemon.Connection {

    private final String id;
    private final ModelDaemon daemon;
    private Optional<String> trouble = Optional.empty();
    private Forwarder.Handle handle;
    private boolean isClosed;
    private boolean isTold;
    private long lastByteMillis;

    Connection(String id, ModelDaemon daemon) {
      this.id = id;
      this.daemon = daemon;
    }

    void open() {
      lastByteMillis = time.nowMillis();
      daemon.onOpened(this);
      CallerRequest request = toRequest(id);
      time.schedule(1, () -> daemon.process().deliver(() -> handle = daemon.serve(request, this)));
    }

    void close() {
      isClosed = true;
      daemon.onClosed(this);
      time.schedule(
          plan.isBreakSeen() ? 1 : UNSEEN_BREAK_MILLIS,
          () ->
              daemon
                  .process()
                  .deliver(
                      () -> {
                        if (handle != null) {
                          handle.onCallerDisconnected();
                        }
                      }));
    }

    private void result(String result) {
      if (!isTold) {
        isTold = true;
        trouble.ifPresent(t -> fleet.onTakenUp(t, result));
      }
    }

    private void send(Runnable arrival) {
      time.schedule(
          1,
          () -> {
            if (!isClosed && this == current) {
              lastByteMillis = time.nowMillis();
              arrival.run();
            }
          });
    }

    @Override
    public void onDaemonEnded() {
      time.schedule(2, this::onBroken);
    }

    private void onBroken() {
      if (this == current) {
        isClosed = true;
        endRequest(this, "daemon ended", plan.pauseMillis());
      }
    }

    private void onEnded(String reason, long pauseMillis) {
      daemon.onClosed(this);
      endRequest(this, reason, pauseMillis);
    }

    @Override
    public void respond(int status, List<HeaderField> fields, byte[] body) {
      send(() -> onEnded("status " + status, plan.pauseMillis()));
    }

    @Override
    public void refuse(Refusal refusal) {
      send(
          () -> {
            boolean isFinal = refusal.retryAfterMillis() == 0;
            isDone |= isFinal && !plan.isPersistent();
            onEnded(
                "refused%s: %s".formatted(isFinal ? " for good" : "", refusal.detail()),
                isFinal ? plan.pauseMillis() : refusal.retryAfterMillis());
          });
    }

    @Override
    public void begin(int status, List<HeaderField> fields) {}

    @Override
    public boolean write(byte[] piece) {
      String text = new String(piece, StandardCharsets.UTF_8);
      send(() -> onEvent(text));
      return true;
    }

    private void onEvent(String text) {
      String[] lines = text.split("\n", -1);
      String[] origin = lines[1].substring("data: ".length()).split("/", -1);
      lastEvent = Integer.parseInt(lines[0].substring("id: ".length()));
      if (firstRequest.isEmpty()) {
        firstRequest = id;
      }
      if (origins.add(new StreamOrigin(origin[0], origin[1]))) {
        note("%s brings event %d of %s %s".formatted(id, lastEvent, origin[0], origin[1]));
      }
      result("went on");
    }

    @Override
    public void end() {
      send(
          () -> {
            isDone = true;
            note(id + " complete");
            onEnded("complete", 0);
          });
    }

    @Override
    public void abort() {
      send(() -> onEnded("broken off", plan.pauseMillis()));
    }
  }
}
