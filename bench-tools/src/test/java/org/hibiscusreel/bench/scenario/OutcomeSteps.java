package org.hibiscusreel.bench.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.hibiscusreel.bench.check.Attempt;
import org.hibiscusreel.bench.check.Outcome;
import org.hibiscusreel.bench.sim.RunResult;
import org.hibiscusreel.bench.sim.Simulation;

/** Steps that check the outcome of a scenario. */
public final class OutcomeSteps {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final ScenarioContext context;

  /**
   * Creates the steps.
   *
   * @param context state shared by the steps of a scenario
   */
  public OutcomeSteps(ScenarioContext context) {
    this.context = context;
  }

  /** Checks that no invariant is violated. */
  @Then("every promise holds")
  public void checkNoViolations() {
    assertThat(context.result().violations()).isEmpty();
  }

  /** Guards against a scenario that passes because nothing was served. */
  @Then("at least {int} requests are served")
  public void checkServedCount(int count) {
    assertThat(servedKeys()).hasSizeGreaterThanOrEqualTo(count);
  }

  /** Checks that every request is served, so that none is refused without need. */
  @Then("no request stays unserved")
  public void checkAllServed() {
    Set<String> served = servedKeys();
    List<String> missing =
        context.simulation().trace().arrivals().stream()
            .map(a -> a.id())
            .filter(id -> !served.contains(id))
            .toList();
    assertThat(missing).isEmpty();
  }

  /** Checks that the allotments of dead daemons were reclaimed, except for the given tokens. */
  @Then("at most {int} tokens stay stranded")
  public void checkStrandedTokens(int tokens) {
    assertThat(context.result().strandedTokens()).isLessThanOrEqualTo(tokens);
  }

  /** Checks that attempts were refused with an error code. */
  @Then("at least {int} attempts are refused with {string}")
  public void checkRefusals(int count, String code) {
    long n =
        context.result().observations().attempts().stream()
            .filter(a -> a.outcome() instanceof Outcome.Refused r && r.code().equals(code))
            .count();
    assertThat(n).isGreaterThanOrEqualTo(count);
  }

  /** Checks that engines crashed at most the given number of times. */
  @Then("engines crash at most {int} times")
  public void checkEngineCrashes(int count) {
    RunResult r = context.result();
    assertThat(r).isNotNull();
    assertThat(context.simulation().engines().crashes()).isLessThanOrEqualTo(count);
  }

  /** Checks that an engine starts no generation from a time on. */
  @Then("engine {string} gets no new work from {int} s on")
  public void checkNoNewWork(String engine, int seconds) {
    long from = Simulation.WARM_UP_MILLIS + seconds * MILLIS_PER_SECOND;
    assertThat(context.result().observations().engineRuns())
        .filteredOn(e -> e.upstream().equals(engine) && e.startedAt() >= from)
        .isEmpty();
  }

  /**
   * Checks that an engine started generations before a time. This guards against a scenario in
   * which the engine never gets work, so that the check for no new work always passes.
   */
  @Then("engine {string} got work before {int} s")
  public void checkEarlierWork(String engine, int seconds) {
    long until = Simulation.WARM_UP_MILLIS + seconds * MILLIS_PER_SECOND;
    assertThat(context.result().observations().engineRuns())
        .filteredOn(e -> e.upstream().equals(engine) && e.startedAt() < until)
        .isNotEmpty();
  }

  /** Checks that no attempt ends without an outcome, which a graceful stop must not cause. */
  @Then("no attempt breaks off")
  public void checkNoBrokenAttempts() {
    assertThat(context.result().observations().attempts())
        .filteredOn(a -> a.outcome() instanceof Outcome.Broken)
        .isEmpty();
  }

  /** Checks that a version of the configuration is active at all daemons by a time. */
  @Then("version {int} is in force at every running daemon at {int} s")
  public void checkConfigurationVersion(int version, int seconds) {
    context.advanceTo(seconds);
    List<Long> versions =
        context.simulation().daemons().values().stream()
            .filter(d -> d.process().isRunning())
            .map(d -> d.node().configuration().current().map(c -> c.version()).orElse(0L))
            .toList();
    assertThat(versions).isNotEmpty().containsOnly((long) version);
  }

  private Set<String> servedKeys() {
    return context.result().observations().attempts().stream()
        .filter(a -> a.outcome() instanceof Outcome.Whole)
        .map((Attempt a) -> a.key().requestId())
        .collect(Collectors.toSet());
  }
}
