package org.hibiscusreel.bench.scenario;

import io.cucumber.java.en.When;
import org.hibiscusreel.bench.sim.Fault;
import org.hibiscusreel.bench.sim.Links;

/** Steps that inject faults. */
public final class FaultSteps {

  private static final double PERCENT = 100.0;

  private final ScenarioContext context;

  /**
   * Creates the steps.
   *
   * @param context state shared by the steps of a scenario
   */
  public FaultSteps(ScenarioContext context) {
    this.context = context;
  }

  /** Cuts the link between a failure domain and the platform. */
  @When("{string} is cut off from the platform at {int} s for {int} s")
  public void cutFromPlatform(String domain, int at, int seconds) {
    context.addFault(Fault.Kind.CUT, domain, Links.PLATFORM, at, seconds, 0);
  }

  /** Cuts the link between two failure domains. */
  @When("{string} and {string} are cut off from each other at {int} s for {int} s")
  public void cutBetweenDomains(String a, String b, int at, int seconds) {
    context.addFault(Fault.Kind.CUT, a, b, at, seconds, 0);
  }

  /** Makes the platform refuse all calls. */
  @When("the platform is down at {int} s for {int} s")
  public void refusePlatformCalls(int at, int seconds) {
    context.addFault(Fault.Kind.PLATFORM_DOWN, "", "", at, seconds, 0);
  }

  /** Delays each call to the table of the platform. */
  @When("the platform is slowed by {int} ms at {int} s for {int} s")
  public void slowPlatform(int millis, int at, int seconds) {
    context.addFault(Fault.Kind.PLATFORM_SLOW, "", "", at, seconds, millis);
  }

  /** Loses responses of the table after the transaction took effect. */
  @When("{int} in 100 responses of the table are lost at {int} s for {int} s")
  public void loseTableResponses(int percent, int at, int seconds) {
    context.addFault(Fault.Kind.LOST_RESPONSES, "", "", at, seconds, percent / PERCENT);
  }

  /** Makes transactions take effect after the client timed out. */
  @When("{int} in 100 writes take effect late at {int} s for {int} s")
  public void delayWrites(int percent, int at, int seconds) {
    context.addFault(Fault.Kind.LATE_EFFECTS, "", "", at, seconds, percent / PERCENT);
  }

  /** Kills the daemon of a host; a new one is started later. */
  @When("host {string} is killed at {int} s and is back after {int} s")
  public void killDaemon(String host, int at, int seconds) {
    context.addFault(Fault.Kind.KILL, host, "", at, seconds, 0);
  }

  /** Kills all daemons of a failure domain; new ones are started later. */
  @When("all hosts of {string} are killed at {int} s and are back after {int} s")
  public void killDomain(String domain, int at, int seconds) {
    context.addFault(Fault.Kind.KILL_DOMAIN, domain, "", at, seconds, 0);
  }

  /** Pauses the daemon of a host. */
  @When("host {string} is paused at {int} s for {int} s")
  public void pauseDaemon(String host, int at, int seconds) {
    context.addFault(Fault.Kind.PAUSE, host, "", at, seconds, 0);
  }

  /** Stops the daemon of a host gracefully; a new one is started later. */
  @When("host {string} is stopped gracefully at {int} s and is back after {int} s")
  public void stopDaemon(String host, int at, int seconds) {
    context.addFault(Fault.Kind.STOP, host, "", at, seconds, 0);
  }

  /** Breaks connections to engines in the middle of streams. */
  @When("{int} in 1000 pieces break their stream at {int} s for {int} s")
  public void breakStreams(int perMille, int at, int seconds) {
    context.addFault(Fault.Kind.BROKEN_STREAMS, "", "", at, seconds, perMille / 1_000.0);
  }

  /** Repeats pieces of answers out of order. */
  @When("{int} in 100 pieces arrive again late at {int} s for {int} s")
  public void repeatPieces(int percent, int at, int seconds) {
    context.addFault(Fault.Kind.REPEATED_PIECES, "", "", at, seconds, percent / PERCENT);
  }

  /** Loses responses of plain services after the call ran. */
  @When("{int} in 100 receipts are lost at {int} s for {int} s")
  public void loseServiceResponses(int percent, int at, int seconds) {
    context.addFault(Fault.Kind.LOST_RECEIPTS, "", "", at, seconds, percent / PERCENT);
  }

  /** Adds tokens to a budget. */
  @When("budget {string} is topped up by {int} tokens at {int} s")
  public void topUp(String budget, int tokens, int at) {
    context.addFault(Fault.Kind.TOP_UP, budget, "", at, 0, tokens);
  }

  /** Makes an engine announce that it is leaving. */
  @When("engine {string} announces at {int} s that it is leaving")
  public void announceLeaving(String engine, int at) {
    context.addFault(Fault.Kind.ENGINE_LEAVING, engine, "", at, 0, 0);
  }

  /** Crashes an engine. */
  @When("engine {string} crashes at {int} s")
  public void crashEngine(String engine, int at) {
    context.addFault(Fault.Kind.ENGINE_CRASH, engine, "", at, 0, 0);
  }

  /** Publishes the unchanged configuration as the next version. */
  @When("the configuration is published again at {int} s")
  public void publishConfiguration(int at) {
    context.addFault(Fault.Kind.PUBLISH, "", "", at, 0, 0);
  }
}
