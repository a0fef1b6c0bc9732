package org.hibiscusreel.bench.sim;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.coordination.request.AnswerListener;
import org.hibiscusreel.coordination.request.ModelRequest;
import org.hibiscusreel.coordination.request.ServiceOutcome;
import org.hibiscusreel.coordination.request.ServiceRequest;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;

/** Sends one request and repeats it with the same identifier until it is answered. */
final class SimulatedCaller {

  private static final long PATIENCE_MILLIS = 40_000;
  private static final long RETRY_MILLIS = 1_000;
  private static final int MAX_ATTEMPTS = 4;

  private final VirtualTime time;
  private final Arrival arrival;
  private final BiFunction<Arrival, Set<String>, Optional<SimulatedDaemon>> balancer;
  private final Consumer<Attempt> record;
  private final Set<String> tried = new HashSet<>();
  private final RequestKey key;
  private final byte[] body;
  private int attempts;

  SimulatedCaller(
      VirtualTime time,
      Arrival arrival,
      BiFunction<Arrival, Set<String>, Optional<SimulatedDaemon>> balancer,
      Consumer<Attempt> record) {
    this.time = time;
    this.arrival = arrival;
    this.balancer = balancer;
    this.record = record;
    this.key = new RequestKey(arrival.account(), arrival.id());
    this.body = SimText.body(arrival.prompt(), arrival.pieces());
  }

  void send() {
    attempts++;
    Optional<SimulatedDaemon> d = balancer.apply(arrival, tried);
    if (d.isEmpty()) {
      again();
      return;
    }
    tried.add(d.get().incarnation());
    Exchange e = new Exchange(d.get(), time.now());
    time.schedule(PATIENCE_MILLIS, () -> e.end(new Outcome.Broken("no answer")));
    d.get().scope().deliver(() -> submit(d.get(), e));
    e.watch();
  }

  private void submit(SimulatedDaemon d, Exchange e) {
    if (arrival.kind() == Arrival.Kind.MODEL) {
      ModelRequest r =
          new ModelRequest(
              key,
              Topology.MODEL,
              arrival.budget(),
              "",
              body,
              body.length,
              arrival.pieces(),
              List.of(Integer.toHexString(arrival.prompt().hashCode())),
              fingerprint(),
              0);
      d.node().requests().submit(r, e);
      return;
    }
    ServiceRequest r =
        new ServiceRequest(
            key,
            Topology.SERVICE,
            method(),
            arrival.budget(),
            "application/json",
            body,
            fingerprint(),
            0);
    var unused = d.node().requests().submit(r).thenAccept(e::onService);
  }

  private String method() {
    return arrival.kind() == Arrival.Kind.ONCE ? "sign" : "lookup";
  }

  private String expected() {
    return arrival.kind() == Arrival.Kind.MODEL
        ? SimText.answer(body)
        : FakeServices.receipt(method(), arrival.id());
  }

  private String fingerprint() {
    return String.format(
        "%016x", new String(body, StandardCharsets.UTF_8).hashCode() & 0xffffffffL);
  }

  private void again() {
    if (attempts < MAX_ATTEMPTS) {
      time.schedule(RETRY_MILLIS << attempts, this::send);
    }
  }

  /** One attempt at one daemon. */
  private final class Exchange implements AnswerListener {

    private final SimulatedDaemon daemon;
    private final long submittedAt;
    private final StringBuilder text = new StringBuilder();
    private long firstPieceAt = -1;
    private boolean ended;

    Exchange(SimulatedDaemon daemon, long submittedAt) {
      this.daemon = daemon;
      this.submittedAt = submittedAt;
    }

    /** Notices the death of the daemon by its closed connection. */
    void watch() {
      if (ended) {
        return;
      }
      if (daemon.scope().isAlive()) {
        time.schedule(100, this::watch);
      } else {
        end(new Outcome.Broken("connection reset"));
      }
    }

    @Override
    public void onPiece(String piece) {
      if (firstPieceAt < 0) {
        firstPieceAt = time.now();
      }
      text.append(piece);
    }

    @Override
    public void onComplete(AnswerEnd answerEnd) {
      end(new Outcome.Whole(text.toString()));
    }

    @Override
    public void onProblem(Problem problem) {
      end(new Outcome.Refused(problem.code().toField(), problem.ran()));
    }

    void onService(ServiceOutcome outcome) {
      if (outcome instanceof ServiceOutcome.Answered a) {
        end(new Outcome.Whole(new String(a.body(), StandardCharsets.UTF_8)));
      } else if (outcome instanceof ServiceOutcome.Failed f) {
        onProblem(f.problem());
      }
    }

    void end(Outcome outcome) {
      if (ended) {
        return;
      }
      ended = true;
      record.accept(
          new Attempt(
              key,
              daemon.incarnation(),
              expected(),
              arrival.kind() != Arrival.Kind.MODEL,
              arrival.kind() != Arrival.Kind.ONCE,
              arrival.worth(),
              submittedAt,
              firstPieceAt < 0 ? time.now() : firstPieceAt,
              time.now(),
              outcome));
      if (isWorthRepeating(outcome)) {
        again();
      }
    }

    private boolean isWorthRepeating(Outcome outcome) {
      if (outcome instanceof Outcome.Refused r) {
        return r.ran() != Ran.YES || arrival.kind() == Arrival.Kind.MODEL;
      }
      return outcome instanceof Outcome.Broken;
    }
  }
}
