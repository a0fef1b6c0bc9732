package org.hibiscusreel.bench.streams;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscusreel.bench.sim.VirtualTime;
import org.hibiscusreel.coordination.forward.HeaderField;
import org.hibiscusreel.coordination.forward.RowValue;
import org.hibiscusreel.coordination.forward.UpstreamTransport;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.StreamOrigin;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.hibiscusreel.core.forward.UpstreamNotice;

/** Upstreams, each of which sends the events of streams and publishes its entry in the store. */
final class ModelUpstreams {

  /** Field of a request with the last event that the caller has. */
  static final String LAST_EVENT = "Last-Event-ID";

  /** Events of one stream. */
  static final int EVENTS = 40;

  private static final long EVENT_INTERVAL_MILLIS = 60;
  private static final long FIRST_EVENT_MILLIS = 40;
  private static final int SLOTS = 50;
  private static final List<HeaderField> FIELDS =
      List.of(new HeaderField("Content-Type", "text/event-stream"));

  /** A running instance. */
  private static final class Instance {
    private final UpstreamEntry entry;
    private final List<Response> responses = new ArrayList<>();

    Instance(UpstreamEntry entry) {
      this.entry = entry;
    }

    void end() {
      List.copyOf(responses).forEach(r -> r.fail(AttemptOutcome.BROKEN));
      responses.clear();
    }
  }

  private final VirtualTime time;
  private final ModelStore store;
  private final Map<String, Instance> byAddress = new HashMap<>();

  ModelUpstreams(VirtualTime time, ModelStore store) {
    this.time = time;
    this.store = store;
  }

  private static String key(String id) {
    return ModelStore.UPSTREAMS + "//" + id;
  }

  private static String address(String id) {
    return "10.1.0." + id.substring(1) + ":9000";
  }

  /** Starts an instance, in the place of the one with the same identity, without its entry. */
  void start(String id, StreamOrigin origin) {
    end(id);
    UpstreamEntry entry =
        new UpstreamEntry(
            id,
            origin.service(),
            address(id),
            "d",
            false,
            SLOTS,
            origin.softwareVersion(),
            time.wallMillis());
    byAddress.put(address(id), new Instance(entry));
  }

  /** Publishes the entry of a running instance. */
  void publish(String id, boolean isLeaving) {
    find(id).ifPresent(i -> store.write(key(id), Optional.of(format(i.entry, isLeaving))));
  }

  /** Removes the entry. */
  void unlist(String id) {
    if (store.value(key(id)).isPresent()) {
      store.write(key(id), Optional.empty());
    }
  }

  /** Ends the instance; its entry stays. */
  void end(String id) {
    Instance old = byAddress.remove(address(id));
    if (old != null) {
      old.end();
    }
  }

  private Optional<Instance> find(String id) {
    return Optional.ofNullable(byAddress.get(address(id)));
  }

  /** Writes the entries of the running instances anew and removes those of the others. */
  void restoreEntries() {
    store.rows(ModelStore.UPSTREAMS + "//").stream()
        .map(r -> r.key().substring(ModelStore.UPSTREAMS.length() + 2))
        .filter(id -> find(id).isEmpty())
        .forEach(this::unlist);
    byAddress.values().forEach(i -> publish(i.entry.id(), false));
  }

  /** Returns whether an upstream is listed and running that can go on with a stream. */
  boolean isContinuable(StreamOrigin origin) {
    return store.rows(ModelStore.UPSTREAMS + "//").stream()
        .map(r -> parse(r.value()))
        .anyMatch(
            e ->
                !e.leaving()
                    && origin.isContinuedBy(e)
                    && find(e.id()).filter(i -> origin.isContinuedBy(i.entry)).isPresent());
  }

  private static String format(UpstreamEntry e, boolean isLeaving) {
    return String.join(
        "|",
        e.id(),
        e.service(),
        e.address(),
        String.valueOf(isLeaving),
        e.softwareVersion(),
        String.valueOf(e.startedAtMillis()));
  }

  private static UpstreamEntry parse(String text) {
    String[] f = text.split("\\|", -1);
    return new UpstreamEntry(
        f[0], f[1], f[2], "d", Boolean.parseBoolean(f[3]), SLOTS, f[4], Long.parseLong(f[5]));
  }

  /** Parses a row of the store. */
  static RowValue<UpstreamEntry> parse(ChangeFeed.Change change) {
    return RowValue.parse(change.value(), ModelUpstreams::parse);
  }

  /** Returns the transport of one daemon. */
  UpstreamTransport transport(ModelProcess process) {
    return (upstream, request, listener) -> {
      Response r = new Response(process, listener, lastEvent(request));
      time.schedule(1, () -> r.open(upstream.address()));
      return r;
    };
  }

  private static int lastEvent(UpstreamTransport.UpstreamRequest request) {
    if (!request.resumeAfter().isEmpty()) {
      return Integer.parseInt(request.resumeAfter());
    }
    return request.caller().fields().stream()
        .filter(f -> f.name().equals(LAST_EVENT))
        .mapToInt(f -> Integer.parseInt(f.value()))
        .findFirst()
        .orElse(0);
  }

  /** Response of an upstream to one request. */
  private final class Response implements UpstreamTransport.Exchange {

    private final ModelProcess process;
    private final UpstreamTransport.Listener listener;
    private int lastEvent;
    private Instance instance;
    private boolean isCancelled;
    private boolean isEnded;

    Response(ModelProcess process, UpstreamTransport.Listener listener, int lastEvent) {
      this.process = process;
      this.listener = listener;
      this.lastEvent = lastEvent;
    }

    void open(String address) {
      instance = byAddress.get(address);
      if (instance == null) {
        fail(AttemptOutcome.NOT_SENT);
        return;
      }
      instance.responses.add(this);
      deliver(listener::onConnected);
      time.schedule(FIRST_EVENT_MILLIS, this::begin);
    }

    private void begin() {
      if (!isOver()) {
        deliver(() -> listener.onNotice(UpstreamNotice.NONE));
        deliver(() -> listener.onHead(200, FIELDS));
        sendEvent();
      }
    }

    private void sendEvent() {
      if (isOver()) {
        return;
      }
      if (lastEvent >= EVENTS) {
        isEnded = true;
        instance.responses.remove(this);
        deliver(listener::onEnd);
        return;
      }
      lastEvent++;
      String text =
          "id: %d\ndata: %s/%s\n\n"
              .formatted(lastEvent, instance.entry.service(), instance.entry.softwareVersion());
      deliver(() -> listener.onBytes(text.getBytes(StandardCharsets.UTF_8)));
      time.schedule(EVENT_INTERVAL_MILLIS, this::sendEvent);
    }

    private boolean isOver() {
      return isCancelled || isEnded || !process.isAlive();
    }

    void fail(AttemptOutcome outcome) {
      if (!isOver()) {
        isEnded = true;
        deliver(() -> listener.onFailure(outcome, "reset"));
      }
    }

    private void deliver(Runnable call) {
      time.schedule(
          1,
          () ->
              process.deliver(
                  () -> {
                    if (!isCancelled) {
                      call.run();
                    }
                  }));
    }

    @Override
    public void pause() {}

    @Override
    public void resumeReading() {}

    @Override
    public void cancel() {
      isCancelled = true;
      if (instance != null) {
        instance.responses.remove(this);
      }
    }
  }
}
