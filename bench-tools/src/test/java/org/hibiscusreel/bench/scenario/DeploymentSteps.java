package org.hibiscusreel.bench.scenario;

import io.cucumber.java.en.Given;
import java.util.List;
import java.util.Locale;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.SimText;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.core.budget.Lean;

/** Steps that describe the deployment and the load. */
public final class DeploymentSteps {

  private final Script script;

  /**
   * Creates the steps.
   *
   * @param script the scenario under construction
   */
  public DeploymentSteps(Script script) {
    this.script = script;
  }

  /** Sets the shape of the deployment. */
  @Given("failure domains {string} with {int} hosts and {int} engines each")
  public void failureDomains(String names, int hosts, int engines) {
    script.setShape(List.of(names.split(", *")), hosts, engines);
  }

  /** Adds a budget. */
  @Given("a budget {string} of {int} tokens that leans {word}")
  public void budget(String name, int tokens, String lean) {
    Lean l = Lean.valueOf(lean.toUpperCase(Locale.ROOT));
    script.budgets().add(new Topology.Budget(name, "acc", tokens, l));
  }

  /** Adds model calls from all failure domains. */
  @Given("{int} model calls on {string} within {int} s")
  public void modelCalls(int count, String budget, int seconds) {
    script.addLoad(count, budget, "", Arrival.Kind.MODEL, 0, seconds);
  }

  /** Adds model calls in one failure domain. */
  @Given("{int} model calls on {string} in {string} from {int} s to {int} s")
  public void modelCalls(int count, String budget, String domain, int from, int to) {
    script.addLoad(count, budget, domain, Arrival.Kind.MODEL, from, to);
  }

  /** Adds plain service calls that may not be repeated. */
  @Given("{int} signatures on {string} within {int} s")
  public void signatures(int count, String budget, int seconds) {
    script.addLoad(count, budget, "", Arrival.Kind.ONCE, 0, seconds);
  }

  /** Adds plain service calls that may be repeated. */
  @Given("{int} look-ups on {string} within {int} s")
  public void lookUps(int count, String budget, int seconds) {
    script.addLoad(count, budget, "", Arrival.Kind.REPEATABLE, 0, seconds);
  }

  /** Adds one long model call. */
  @Given("a model call of {int} pieces on {string} in {string} at {int} s")
  public void longCall(int pieces, String budget, String domain, int at) {
    script.addCall(budget, domain, "a long prompt", pieces, at);
  }

  /** Adds a model call that crashes each engine that runs it. */
  @Given("a model call on {string} in {string} at {int} s that crashes its engine")
  public void crashingCall(String budget, String domain, int at) {
    script.addCall(budget, domain, SimText.CRASH_MARKER, 20, at);
  }
}
