package org.hibiscusreel.bench.scenario;

import io.cucumber.java.en.Given;
import java.util.List;
import java.util.Locale;
import org.hibiscusreel.bench.sim.Arrival;
import org.hibiscusreel.bench.sim.SimulatedPayloads;
import org.hibiscusreel.bench.sim.Topology;
import org.hibiscusreel.core.budget.AllotmentPolicy;

/** Steps that define the deployment and the load. */
public final class DeploymentSteps {

  private final ScenarioContext context;

  /**
   * Creates the steps.
   *
   * @param context state shared by the steps of a scenario
   */
  public DeploymentSteps(ScenarioContext context) {
    this.context = context;
  }

  /** Sets the topology of the deployment. */
  @Given("failure domains {string} with {int} hosts and {int} engines each")
  public void setTopology(String names, int hosts, int engines) {
    context.setTopology(List.of(names.split(", *")), hosts, engines);
  }

  /** Adds a budget. */
  @Given("a budget {string} of {int} tokens that leans {word}")
  public void addBudget(String name, int tokens, String lean) {
    AllotmentPolicy l = AllotmentPolicy.valueOf(lean.toUpperCase(Locale.ROOT));
    context.budgets().add(new Topology.Budget(name, "acc", tokens, l));
  }

  /** Adds model calls from random failure domains. */
  @Given("{int} model calls on {string} within {int} s")
  public void addModelCalls(int count, String budget, int seconds) {
    context.addLoad(count, budget, "", Arrival.Kind.MODEL, 0, seconds);
  }

  /** Adds model calls from one failure domain. */
  @Given("{int} model calls on {string} in {string} from {int} s to {int} s")
  public void addModelCalls(int count, String budget, String domain, int from, int to) {
    context.addLoad(count, budget, domain, Arrival.Kind.MODEL, from, to);
  }

  /** Adds plain service calls that may not be repeated. */
  @Given("{int} signatures on {string} within {int} s")
  public void addSignatures(int count, String budget, int seconds) {
    context.addLoad(count, budget, "", Arrival.Kind.ONCE, 0, seconds);
  }

  /** Adds plain service calls that may be repeated. */
  @Given("{int} look-ups on {string} within {int} s")
  public void addLookUps(int count, String budget, int seconds) {
    context.addLoad(count, budget, "", Arrival.Kind.REPEATABLE, 0, seconds);
  }

  /** Adds one model call with the given number of pieces in its answer. */
  @Given("a model call of {int} pieces on {string} in {string} at {int} s")
  public void addLongCall(int pieces, String budget, String domain, int at) {
    context.addCall(budget, domain, "a long prompt", pieces, at);
  }

  /** Adds a model call that crashes every engine that runs it. */
  @Given("a model call on {string} in {string} at {int} s that crashes its engine")
  public void addCrashingCall(String budget, String domain, int at) {
    context.addCall(budget, domain, SimulatedPayloads.CRASH_MARKER, 20, at);
  }
}
