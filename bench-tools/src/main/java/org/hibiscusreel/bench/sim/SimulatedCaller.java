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

/** Sends a request and retries it with the same identifier, up to a maximum number of attempts. */
final class SimulatedCaller {

  private static final long RESPONSE_TIMEOUT_MILLIS = 40_000;

  /** Delay that doubles with each attempt. */
  private static final long BASE_RETRY_DELAY_MILLIS = 1_000;

  private static final int MAX_ATTEMPTS = 4;
  private static final long CONNECTION_POLL_INTERVAL_MILLIS = 100;

  private final VirtualTime time;
  private final Arrival arrival;
  private final BiFunction<Arrival, Set<String>, Optional<SimulatedDaemon>> loadBalancer;
  private final Consumer<Attempt> attemptRecorder;
  private final Set<String> tried = new HashSet<>();
  private final RequestKey key;
  private final byte[] body;
  private int attempts;

  SimulatedCaller(
      VirtualTime time,
      Arrival arrival,
      BiFunction<Arrival, Set<String>, Optional<SimulatedDaemon>> loadBalancer,
      Consumer<Attempt> attemptRecorder) {
    this.time = time;
    this.arrival = arrival;
    this.loadBalancer = loadBalancer;
    this.attemptRecorder = attemptRecorder;
    this.key = new RequestKey(arrival.account(), arrival.id());
    this.body = SimulatedPayloads.body(arrival.prompt(), arrival.pieces());
  }

  void send() {
    attempts++;
    Optional<SimulatedDaemon> d = loadBalancer.apply(arrival, tried);
    if (d.isEmpty()) {
      scheduleRetry();
      return;
    }
    tried.add(d.get().incarnation());
    Exchange e = new Exchange(d.get(), time.nowMillis());
    time.schedule(RESPONSE_TIMEOUT_MILLIS, () -> e.end(new Outcome.Broken("no answer")));
    d.get().process().deliver(() -> submit(d.get(), e));
    e.pollConnection();
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
    var unused = d.node().requests().submit(r).thenAccept(e::onServiceOutcome);
  }

  private String method() {
    return arrival.kind() == Arrival.Kind.ONCE ? "sign" : "lookup";
  }

  private String expectedAnswer() {
    return arrival.kind() == Arrival.Kind.MODEL
        ? SimulatedPayloads.answer(body)
        : FakeServices.responseBody(method(), arrival.id());
  }

  private String fingerprint() {
    return String.format(
        "%016x", new String(body, StandardCharsets.UTF_8).hashCode() & 0xffffffffL);
  }

  private void scheduleRetry() {
    if (attempts < MAX_ATTEMPTS) {
      time.schedule(BASE_RETRY_DELAY_MILLIS << attempts, this::send);
    }
  }

  /** One attempt of the request, sent to one daemon. */
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

    /** Polls until the attempt ends, and ends it if the daemon was killed. */
    void pollConnection() {
      if (ended) {
        return;
      }
      if (daemon.process().isAlive()) {
        time.schedule(CONNECTION_POLL_INTERVAL_MILLIS, this::pollConnection);
      } else {
        end(new Outcome.Broken("connection reset"));
      }
    }

    @Override
    public void onPiece(String piece) {
      if (firstPieceAt < 0) {
        firstPieceAt = time.nowMillis();
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

    void onServiceOutcome(ServiceOutcome outcome) {
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
      attemptRecorder.accept(
          new Attempt(
              key,
              daemon.incarnation(),
              expectedAnswer(),
              arrival.kind() != Arrival.Kind.MODEL,
              arrival.kind() != Arrival.Kind.ONCE,
              arrival.worth(),
              submittedAt,
              firstPieceAt < 0 ? time.nowMillis() : firstPieceAt,
              time.nowMillis(),
              outcome));
      if (shouldRetry(outcome)) {
        scheduleRetry();
      }
    }

    private boolean shouldRetry(Outcome outcome) {
      if (outcome instanceof Outcome.Refused r) {
        return r.ran() != Ran.YES || arrival.kind() == Arrival.Kind.MODEL;
      }
      return outcome instanceof Outcome.Broken;
    }
  }
}
