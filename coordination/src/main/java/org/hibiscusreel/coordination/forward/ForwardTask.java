package org.hibiscusreel.coordination.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibiscusreel.coordination.port.Cancellable;
import org.hibiscusreel.core.forward.AccountTerms;
import org.hibiscusreel.core.forward.AttemptOutcome;
import org.hibiscusreel.core.forward.AttemptPolicy;
import org.hibiscusreel.core.forward.ForwardService;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.Placement;
import org.hibiscusreel.core.forward.PromptShape;
import org.hibiscusreel.core.forward.Route;
import org.hibiscusreel.core.forward.UpstreamEntry;

/** One request from its arrival to its end. */
final class ForwardTask implements Forwarder.Handle, ForwardAttempt.Owner {

  /** The draw of tokens takes a few milliseconds; a caller waits no longer than this for it. */
  static final long RESERVE_TIMEOUT_MILLIS = 1_500;

  /**
   * Advice when no tokens can be drawn. Another daemon may still hold some, and a caller that comes
   * back this soon can be served within the shortest objective of today's sites, 600 ms.
   */
  static final long STORE_RETRY_AFTER_MILLIS = 400;

  /** Advice while other daemons hold tokens; they review a low budget every second. */
  static final long HELD_ELSEWHERE_RETRY_AFTER_MILLIS = 1_200;

  /** Advice to a caller whose request did not run, when nothing better is known. */
  static final long RETRY_AFTER_MILLIS = 300;

  private static final int STATUS_SERVER_ERROR = 500;

  private final Forwarder forwarder;
  private final ForwardingTable table;
  private final Route route;
  private final Optional<AccountTerms> account;
  private final CallerRequest request;
  private final CallerExchange caller;
  private final ForwardService service;
  private final long arrivedAt;
  private final long callerDeadline;
  private final long endsAt;
  private final Set<String> tried = new HashSet<>();
  private final List<String> trail = new ArrayList<>();
  private Cancellable timer = () -> {};
  private ForwardAttempt attempt;
  private int sent;
  private int unsent;
  private boolean mayHaveRun;
  private boolean promptRead;
  private boolean begun;
  private boolean ended;
  private boolean reserved;
  private String lastEvent = "";
  private long eventsDelivered;
  private long firstPieceAt;

  ForwardTask(
      Forwarder forwarder,
      ForwardingTable table,
      Route route,
      Optional<AccountTerms> account,
      CallerRequest request,
      CallerExchange caller) {
    this.forwarder = forwarder;
    this.table = table;
    this.route = route;
    this.account = account;
    this.request = request;
    this.caller = caller;
    String name = route.service(forwarder.random().getAsLong());
    this.service = table.service(name).orElseGet(() -> new ForwardService(name, 0, 0, 0, 0));
    this.arrivedAt = forwarder.scheduler().nowMillis();
    this.callerDeadline = arrivedAt + request.deadlineMillis().orElse(route.timeoutMillis());
    this.endsAt = Math.min(callerDeadline, arrivedAt + route.timeoutMillis());
  }

  void start() {
    timer = forwarder.scheduler().schedule(millisLeft(), this::onTimeout);
    forwarder.retryBudget(service.name()).onRequest();
    if (prepaidTokens() == 0) {
      dispatch();
      return;
    }
    long wait = Math.min(RESERVE_TIMEOUT_MILLIS, millisLeft());
    var unused =
        forwarder
            .budgets()
            .reserve(account.orElseThrow().name(), prepaidTokens(), wait)
            .thenAccept(this::onReserved);
  }

  /** Returns the most tokens that the request takes from a budget, 0 if it takes none. */
  private long prepaidTokens() {
    boolean counted = account.isPresent() && account.get().prepaidTokens().isPresent();
    return counted ? request.prompt().map(PromptShape::worstCaseTokens).orElse(0L) : 0;
  }

  private void onReserved(PrepaidBudgets.Outcome outcome) {
    if (outcome instanceof PrepaidBudgets.Outcome.Reserved) {
      reserved = true;
      if (ended) {
        settle();
      } else {
        dispatch();
      }
    } else if (outcome instanceof PrepaidBudgets.Outcome.Exhausted) {
      refuse(Refusal.Kind.BUDGET_EXHAUSTED, 0, "the prepaid tokens do not cover the request");
    } else if (outcome instanceof PrepaidBudgets.Outcome.HeldElsewhere) {
      refuse(
          Refusal.Kind.NOT_RUN,
          HELD_ELSEWHERE_RETRY_AFTER_MILLIS,
          "other daemons hold the tokens that are left");
    } else if (outcome instanceof PrepaidBudgets.Outcome.Unavailable u) {
      refuse(
          Refusal.Kind.NOT_RUN, STORE_RETRY_AFTER_MILLIS, "no tokens can be drawn: " + u.reason());
    }
  }

  private void dispatch() {
    Optional<Placement.Choice> choice = forwarder.choose(service.name(), request.prompt(), tried);
    if (choice.isEmpty()) {
      giveUp("no upstream of " + service.name() + " is left");
      return;
    }
    UpstreamEntry upstream = choice.get().candidate().entry();
    tried.add(upstream.id());
    sent++;
    UpstreamTransport.Outgoing outgoing =
        new UpstreamTransport.Outgoing(
            request,
            account.map(AccountTerms::name).orElse(""),
            millisLeft(),
            account.map(a -> a.priority().orElse(route.priority())).orElse(route.priority()),
            lastEvent);
    request
        .prompt()
        .ifPresent(p -> choice.get().candidate().load().memory().onSent(p, service.memoryTokens()));
    attempt =
        new ForwardAttempt(
            forwarder, this, route, upstream, choice.get().tokensToRead(), lastEvent);
    attempt.start(outgoing);
  }

  private long millisLeft() {
    return endsAt - forwarder.scheduler().nowMillis();
  }

  @Override
  public void onWhole(int status, List<HeaderField> fields, byte[] body) {
    noteAttempt("status " + status);
    promptRead = true;
    boolean retryable = begun || status >= STATUS_SERVER_ERROR;
    if (retryable && route.repetition().mayRunAgain() && retry(AttemptOutcome.FAILED)) {
      return;
    }
    if (begun) {
      giveUp("the resumed stream got status " + status);
      return;
    }
    caller.respond(status, fields, body);
    finish("status " + status, true);
  }

  @Override
  public void onBegin(int status, List<HeaderField> fields) {
    promptRead = true;
    if (!begun) {
      begun = true;
      firstPieceAt = forwarder.scheduler().nowMillis();
      caller.begin(status, fields);
    }
  }

  @Override
  public boolean onEvent(String id, byte[] bytes) {
    if (!id.isEmpty()) {
      lastEvent = id;
    }
    eventsDelivered++;
    return caller.write(bytes);
  }

  @Override
  public void onComplete() {
    noteAttempt("complete");
    caller.end();
    finish("complete", true);
  }

  @Override
  public void onFailed(AttemptOutcome outcome, String reason) {
    noteAttempt(outcome + " " + reason);
    if (outcome == AttemptOutcome.NOT_SENT) {
      sent--;
      unsent++;
    }
    mayHaveRun |= outcome.mayHaveRun();
    if (!retry(outcome)) {
      giveUp(outcome + " " + reason);
    }
  }

  private boolean retry(AttemptOutcome outcome) {
    AttemptPolicy.State state =
        new AttemptPolicy.State(
            route.repetition(), route.maxAttempts(), sent, unsent, millisLeft());
    if (!AttemptPolicy.mayRetry(
        state, outcome, () -> forwarder.retryBudget(service.name()).tryRetry())) {
      return false;
    }
    dispatch();
    return true;
  }

  private void noteAttempt(String result) {
    long after = forwarder.scheduler().nowMillis() - arrivedAt;
    trail.add(attempt.upstream().id() + "@" + after + " " + result);
    attempt = null;
  }

  private void giveUp(String reason) {
    if (ended) {
      return;
    }
    if (begun) {
      caller.abort();
      finish("aborted: " + reason, false);
    } else if (mayHaveRun) {
      refuse(Refusal.Kind.FAILED, 0, reason);
    } else {
      refuse(Refusal.Kind.NOT_RUN, RETRY_AFTER_MILLIS, reason);
    }
  }

  private void refuse(Refusal.Kind kind, long retryAfterMillis, String reason) {
    if (ended) {
      return;
    }
    caller.refuse(new Refusal(kind, retryAfterMillis, reason));
    finish(kind + " " + reason, false);
  }

  private void onTimeout() {
    if (ended) {
      return;
    }
    boolean running = attempt != null;
    cancelAttempt("time is over");
    if (begun) {
      caller.abort();
      finish("aborted: time is over", false);
    } else if (running || mayHaveRun) {
      refuse(Refusal.Kind.TIMED_OUT, 0, "time is over");
    } else {
      refuse(Refusal.Kind.NOT_RUN, RETRY_AFTER_MILLIS, "time is over");
    }
  }

  @Override
  public void onCallerGone() {
    if (!ended) {
      cancelAttempt("caller gone");
      finish("caller gone", false);
    }
  }

  @Override
  public void onWritable() {
    if (attempt != null) {
      attempt.proceed();
    }
  }

  private void cancelAttempt(String reason) {
    if (attempt != null) {
      mayHaveRun = true;
      attempt.cancel();
      noteAttempt(reason);
    }
  }

  private void finish(String outcome, boolean wasServed) {
    ended = true;
    timer.cancel();
    log(outcome, settle());
    forwarder.onEnded(this, wasServed);
  }

  /**
   * Charges the prompt if an upstream may have read it, and the events that were delivered.
   *
   * @return tokens charged
   */
  private long settle() {
    if (!reserved) {
      return 0;
    }
    reserved = false;
    PromptShape p = request.prompt().orElseThrow();
    long output = Math.min(p.maxOutputTokens(), eventsDelivered * service.tokensPerEvent());
    long used = promptRead || mayHaveRun ? p.promptTokens() + output : 0;
    forwarder.budgets().settle(account.orElseThrow().name(), p.worstCaseTokens(), used);
    return used;
  }

  private void log(String outcome, long charged) {
    long now = forwarder.scheduler().nowMillis();
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("id", request.id());
    fields.put("route", route.name());
    fields.put("service", service.name());
    fields.put("account", account.map(AccountTerms::name).orElse(""));
    fields.put("version", table.version());
    fields.put("upstreams_age_ms", forwarder.fleet().newsAgeMillis());
    fields.put("deadline_ms", callerDeadline - arrivedAt);
    fields.put("took_ms", now - arrivedAt);
    fields.put("first_ms", firstPieceAt == 0 ? -1 : firstPieceAt - arrivedAt);
    fields.put("events", eventsDelivered);
    request.prompt().ifPresent(p -> fields.put("prompt_tokens", p.promptTokens()));
    fields.put("charged_tokens", charged);
    fields.put("attempts", trail);
    fields.put("outcome", outcome);
    forwarder.log().record("request", fields);
  }
}
