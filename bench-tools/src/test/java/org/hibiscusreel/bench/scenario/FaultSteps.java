package org.hibiscusreel.bench.scenario;

import io.cucumber.java.en.When;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.Links;

/** Steps that bring about failures. */
public final class FaultSteps {

  private static final double PERCENT = 100.0;

  private final Script script;

  /**
   * Creates the steps.
   *
   * @param script the scenario under construction
   */
  public FaultSteps(Script script) {
    this.script = script;
  }

  /** Cuts a failure domain off from the platform. */
  @When("{string} is cut off from the platform at {int} s for {int} s")
  public void cutFromPlatform(String domain, int at, int seconds) {
    script.addFault(Fault.Kind.CUT, domain, Links.PLATFORM, at, seconds, 0);
  }

  /** Cuts the link between two failure domains. */
  @When("{string} and {string} are cut off from each other at {int} s for {int} s")
  public void cut(String a, String b, int at, int seconds) {
    script.addFault(Fault.Kind.CUT, a, b, at, seconds, 0);
  }

  /** Lets the platform refuse all calls. */
  @When("the platform is down at {int} s for {int} s")
  public void platformDown(int at, int seconds) {
    script.addFault(Fault.Kind.PLATFORM_DOWN, "", "", at, seconds, 0);
  }

  /** Lets the platform answer late. */
  @When("the platform is slowed by {int} ms at {int} s for {int} s")
  public void platformSlow(int millis, int at, int seconds) {
    script.addFault(Fault.Kind.PLATFORM_SLOW, "", "", at, seconds, millis);
  }

  /** Loses responses of the table after the write took effect. */
  @When("{int} in 100 responses of the table are lost at {int} s for {int} s")
  public void lostResponses(int percent, int at, int seconds) {
    script.addFault(Fault.Kind.LOST_RESPONSES, "", "", at, seconds, percent / PERCENT);
  }

  /** Lets writes take effect after the caller gave up. */
  @When("{int} in 100 writes take effect late at {int} s for {int} s")
  public void lateEffects(int percent, int at, int seconds) {
    script.addFault(Fault.Kind.LATE_EFFECTS, "", "", at, seconds, percent / PERCENT);
  }

  /** Kills a daemon; a new one starts later. */
  @When("host {string} is killed at {int} s and is back after {int} s")
  public void kill(String host, int at, int seconds) {
    script.addFault(Fault.Kind.KILL, host, "", at, seconds, 0);
  }

  /** Kills all daemons of a failure domain. */
  @When("all hosts of {string} are killed at {int} s and are back after {int} s")
  public void killDomain(String domain, int at, int seconds) {
    script.addFault(Fault.Kind.KILL_DOMAIN, domain, "", at, seconds, 0);
  }

  /** Pauses a daemon. */
  @When("host {string} is paused at {int} s for {int} s")
  public void pause(String host, int at, int seconds) {
    script.addFault(Fault.Kind.PAUSE, host, "", at, seconds, 0);
  }

  /** Stops a daemon gracefully; a new one starts later. */
  @When("host {string} is stopped gracefully at {int} s and is back after {int} s")
  public void stop(String host, int at, int seconds) {
    script.addFault(Fault.Kind.STOP, host, "", at, seconds, 0);
  }

  /** Breaks streams of engines. */
  @When("{int} in 1000 pieces break their stream at {int} s for {int} s")
  public void brokenStreams(int perMille, int at, int seconds) {
    script.addFault(Fault.Kind.BROKEN_STREAMS, "", "", at, seconds, perMille / 1_000.0);
  }

  /** Repeats pieces after later ones. */
  @When("{int} in 100 pieces arrive again late at {int} s for {int} s")
  public void repeatedPieces(int percent, int at, int seconds) {
    script.addFault(Fault.Kind.REPEATED_PIECES, "", "", at, seconds, percent / PERCENT);
  }

  /** Loses responses of plain services after the run. */
  @When("{int} in 100 receipts are lost at {int} s for {int} s")
  public void lostReceipts(int percent, int at, int seconds) {
    script.addFault(Fault.Kind.LOST_RECEIPTS, "", "", at, seconds, percent / PERCENT);
  }

  /** Tops up a budget. */
  @When("budget {string} is topped up by {int} tokens at {int} s")
  public void topUp(String budget, int tokens, int at) {
    script.addFault(Fault.Kind.TOP_UP, budget, "", at, 0, tokens);
  }

  /** Lets an engine announce that it is leaving. */
  @When("engine {string} announces at {int} s that it is leaving")
  public void leaving(String engine, int at) {
    script.addFault(Fault.Kind.ENGINE_LEAVING, engine, "", at, 0, 0);
  }

  /** Crashes an engine. */
  @When("engine {string} crashes at {int} s")
  public void crash(String engine, int at) {
    script.addFault(Fault.Kind.ENGINE_CRASH, engine, "", at, 0, 0);
  }

  /** Publishes the configuration as the next version. */
  @When("the configuration is published again at {int} s")
  public void publish(int at) {
    script.addFault(Fault.Kind.PUBLISH, "", "", at, 0, 0);
  }
}
