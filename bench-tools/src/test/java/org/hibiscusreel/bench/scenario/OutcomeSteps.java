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

/** Steps that state outcomes. */
public final class OutcomeSteps {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final Script script;

  /**
   * Creates the steps.
   *
   * @param script the scenario under construction
   */
  public OutcomeSteps(Script script) {
    this.script = script;
  }

  /** Runs the scenario and checks every promise. */
  @Then("every promise holds")
  public void everyPromiseHolds() {
    assertThat(script.result().violations()).isEmpty();
  }

  /** Guards against a scenario that passes since nothing was served. */
  @Then("at least {int} requests are served")
  public void served(int count) {
    assertThat(servedKeys()).hasSizeGreaterThanOrEqualTo(count);
  }

  /** Guards against false refusals. */
  @Then("no request stays unserved")
  public void noneUnserved() {
    Set<String> served = servedKeys();
    List<String> missing =
        script.simulation().trace().arrivals().stream()
            .map(a -> a.id())
            .filter(id -> !served.contains(id))
            .toList();
    assertThat(missing).isEmpty();
  }

  /** Checks that the platform got everything back that dead daemons held. */
  @Then("at most {int} tokens stay stranded")
  public void stranded(int tokens) {
    assertThat(script.result().strandedTokens()).isLessThanOrEqualTo(tokens);
  }

  /** Checks that a refusal with a code was given. */
  @Then("at least {int} attempts are refused with {string}")
  public void refused(int count, String code) {
    long n =
        script.result().seen().attempts().stream()
            .filter(a -> a.outcome() instanceof Outcome.Refused r && r.code().equals(code))
            .count();
    assertThat(n).isGreaterThanOrEqualTo(count);
  }

  /** Checks that engines crashed no more often than allowed. */
  @Then("engines crash at most {int} times")
  public void crashes(int count) {
    RunResult r = script.result();
    assertThat(r).isNotNull();
    assertThat(script.simulation().engines().crashes()).isLessThanOrEqualTo(count);
  }

  /** Checks that a leaving engine gets no new work. */
  @Then("engine {string} gets no new work from {int} s on")
  public void noNewWork(String engine, int seconds) {
    long from = Simulation.WARM_UP_MILLIS + seconds * MILLIS_PER_SECOND;
    assertThat(script.result().seen().engineRuns())
        .filteredOn(e -> e.upstream().equals(engine) && e.startedAt() >= from)
        .isEmpty();
  }

  /** Checks that an engine got work before, so that the check above can fail. */
  @Then("engine {string} got work before {int} s")
  public void gotWork(String engine, int seconds) {
    long until = Simulation.WARM_UP_MILLIS + seconds * MILLIS_PER_SECOND;
    assertThat(script.result().seen().engineRuns())
        .filteredOn(e -> e.upstream().equals(engine) && e.startedAt() < until)
        .isNotEmpty();
  }

  /** Checks that no attempt broke off, as none may at a graceful stop. */
  @Then("no attempt breaks off")
  public void noneBroken() {
    assertThat(script.result().seen().attempts())
        .filteredOn(a -> a.outcome() instanceof Outcome.Broken)
        .isEmpty();
  }

  /** Checks that a version is in force in time. */
  @Then("version {int} is in force at every running daemon at {int} s")
  public void inForce(int version, int seconds) {
    script.runTo(seconds);
    List<Long> versions =
        script.simulation().daemons().values().stream()
            .filter(d -> d.scope().isRunning())
            .map(d -> d.node().configuration().current().map(c -> c.version()).orElse(0L))
            .toList();
    assertThat(versions).isNotEmpty().containsOnly((long) version);
  }

  private Set<String> servedKeys() {
    return script.result().seen().attempts().stream()
        .filter(a -> a.outcome() instanceof Outcome.Whole)
        .map((Attempt a) -> a.key().requestId())
        .collect(Collectors.toSet());
  }
}
