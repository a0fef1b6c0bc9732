package org.hibiscusreel.coordination.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hibiscusreel.core.admission.InProgressCounters;
import org.hibiscusreel.core.admission.RateLimiter;
import org.hibiscusreel.core.config.ClientAccount;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ModelSettings;
import org.hibiscusreel.core.request.Problem;
import org.hibiscusreel.core.request.ProblemCode;

/**
 * Checks a request before tokens are reserved. A refusal here means that the request did not run.
 */
final class Admission {
  static final long RETRY_AFTER_MILLIS = 1_000;
  static final String CRASH_CAUSE_UNDECIDED = "the cause of recent crashes is examined";

  private final RequestContext context;
  private final InProgressCounters accounts = new InProgressCounters();
  private final InProgressCounters models = new InProgressCounters();
  private final Map<String, RateLimiter> rateLimiters = new HashMap<>();
  private boolean accepting = true;

  Admission(RequestContext context) {
    this.context = context;
  }

  void stopAccepting() {
    accepting = false;
  }

  /** Returns why no request can be admitted, or empty. */
  Optional<Problem> checkReady() {
    if (!accepting) {
      return refuse(ProblemCode.SHUTTING_DOWN, "another daemon can serve the request", 0);
    }
    if (context.dependencies().configuration().current().isEmpty()) {
      return refuse(ProblemCode.NO_CONFIGURATION, "", RETRY_AFTER_MILLIS);
    }
    return Optional.empty();
  }

  /**
   * Acquires the limits and the buffer space for the bill, or returns why the request is refused.
   */
  Optional<Problem> admit(Configuration configuration, AdmittedRequest.Terms terms) {
    ClientAccount account = configuration.accounts().get(terms.key().account());
    if (account == null) {
      return refuse(ProblemCode.INVALID_KEY, "the client account does not exist", 0);
    }
    if (!account.budgets().contains(terms.budget())) {
      return refuse(ProblemCode.UNKNOWN_BUDGET, terms.budget(), 0);
    }
    Optional<Problem> crash = checkCrash(terms.fingerprint());
    if (crash.isPresent()) {
      return crash;
    }
    Optional<Problem> limit =
        acquireLimits(account, configuration.models().get(terms.model()), terms);
    if (limit.isPresent()) {
      return limit;
    }
    if (!context.billing().tryAcquireSlot()) {
      release(terms);
      return refuse(ProblemCode.BILLING_BACKLOG, "", RETRY_AFTER_MILLIS);
    }
    return Optional.empty();
  }

  private Optional<Problem> checkCrash(String fingerprint) {
    return switch (context.crashMonitor().evaluate(fingerprint)) {
      case BLOCKED -> refuse(ProblemCode.REQUEST_CRASHES_UPSTREAMS, "", 0);
      case UNDECIDED -> refuse(ProblemCode.OVERLOADED, CRASH_CAUSE_UNDECIDED, RETRY_AFTER_MILLIS);
      case CLEAR, SUSPECT -> Optional.empty();
    };
  }

  private Optional<Problem> acquireLimits(
      ClientAccount account, ModelSettings model, AdmittedRequest.Terms terms) {
    if (!accounts.tryAcquire(account.id(), account.maxConcurrent())) {
      return refuse(ProblemCode.RATE_LIMITED, "too many requests in progress", RETRY_AFTER_MILLIS);
    }
    if (!models.tryAcquire(terms.model(), model == null ? 0 : model.maxConcurrent())) {
      accounts.release(account.id());
      return refuse(
          ProblemCode.OVERLOADED,
          "the model is at its limit",
          context.slotQueue().retryAfterMillis());
    }
    long wait = rateLimitWaitMillis(account);
    if (wait > 0) {
      release(terms);
      return refuse(ProblemCode.RATE_LIMITED, "too many requests a second", wait);
    }
    return Optional.empty();
  }

  private long rateLimitWaitMillis(ClientAccount account) {
    if (account.requestsPerSecond() <= 0) {
      return 0;
    }
    return rateLimiters
        .computeIfAbsent(account.id(), k -> new RateLimiter())
        .tryAcquire(account.requestsPerSecond(), context.scheduler().nowMillis());
  }

  void onConfiguration(Configuration configuration) {
    rateLimiters.keySet().retainAll(configuration.accounts().keySet());
  }

  void release(AdmittedRequest.Terms terms) {
    accounts.release(terms.key().account());
    models.release(terms.model());
  }

  private static Optional<Problem> refuse(ProblemCode code, String detail, long retryMillis) {
    return Optional.of(
        retryMillis > 0 ? Problem.notRun(code, detail, retryMillis) : Problem.notRun(code, detail));
  }
}
