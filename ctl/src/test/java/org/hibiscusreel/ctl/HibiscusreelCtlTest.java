package org.hibiscusreel.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.core.budget.BudgetRow;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.timeline.HybridTimestamp;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.hibiscusreel.ctl.platform.PlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HibiscusreelCtlTest {

  private static final String BASE =
      """
      # kept by edits
      [sites.north]
      failure_domains = ["n-a"]
      [models.writer]
      [upstreams.engine-1] # first engine
      kind = "engine"
      address = "127.0.0.1:9101"
      failure_domain = "n-a"
      site = "north"
      serves = ["writer"]
      """;

  @TempDir private Path directory;
  private final FakePlatform platform = new FakePlatform();
  private String out = "";
  private String err = "";

  HibiscusreelCtlTest() throws IOException {}

  @AfterEach
  void stop() {
    platform.close();
  }

  @Test
  void everyCommandPrintsHelp() {
    assertThat(run("--version")).isZero();
    assertThat(out).startsWith("hibiscusreelctl ");
    for (String command :
        List.of(
            "check",
            "diff",
            "publish",
            "history",
            "show",
            "accounts list",
            "accounts new-key",
            "budgets create",
            "budgets top-up",
            "budgets balance",
            "budgets set-lean",
            "upstreams drain",
            "upstreams return",
            "hosts list",
            "hosts confirm-dead",
            "requests show",
            "streams compare",
            "timeline",
            "report")) {
      assertThat(run((command + " --help").split(" ", -1))).as(command).isZero();
      assertThat(out).as(command).contains("Usage:", "--platform", "--timeout-ms");
    }
  }

  @Test
  void distinguishesUsageErrorFromUnreachablePlatform() {
    assertThat(run("budgets", "balance", "main")).isEqualTo(2);
    assertThat(run("budgets", "nothing")).isEqualTo(2);
    platform.close();
    assertThat(call("budgets", "balance", "main")).isEqualTo(3);
  }

  @Test
  void publishesAndShowsDifference() {
    assertThat(publish("", "[serving]\nworth = 2.0\n")).isZero();
    assertThat(publish("", "[serving]\nworth = 3.0\n")).isZero();

    assertThat(out).contains("all sites: ~ serving.worth = 2.0 -> 3.0", "published version 2");
    assertThat(call("history")).isZero();
    assertThat(out).containsSubsequence("version 2 by ana", "version 1 by ana");
    assertThat(call("show", "--site", "north")).isZero();
    assertThat(out).contains("serving.worth = 3.0");
    assertThat(call("show", "--source", "base", "--config-version", "1")).isZero();
    assertThat(out).startsWith("# kept by edits");
    assertThat(call("diff", "--from", "2", "--to", "1")).isZero();
    assertThat(out).contains("~ serving.worth = 3.0 -> 2.0");
  }

  @Test
  void refusesInvalidConfigurationWithFileLineAndKey() {
    assertThat(publish("", "[serving]\nworth = -2.0\n")).isEqualTo(1);

    assertThat(err).contains("north.toml:2: serving.worth: must be between");
    assertThat(platform.rows).isEmpty();
  }

  /**
   * Two operators publish concurrently: the later one must not overwrite the earlier change, and
   * must be shown it.
   */
  @Test
  void concurrentPublishFailsAndShowsOtherChange() {
    publish("", "");
    platform.beforeNextWrite = () -> publish("", "[serving]\nworth = 9.0\n");

    assertThat(publish("", "[serving]\npriority = 1\n")).isEqualTo(1);

    assertThat(err)
        .contains(
            "conflict: the current version is 2", "version 2 by ana", "+ serving.worth = 9.0");
    assertThat(call("show", "--site", "north")).isZero();
    assertThat(out).contains("serving.worth = 9.0").doesNotContain("priority");
  }

  @Test
  void publishFailsWhenExpectedVersionIsOutdated() {
    publish("", "");
    publish("", "[serving]\nworth = 9.0\n");

    assertThat(publish("1", "[serving]\npriority = 1\n")).isEqualTo(1);
    assertThat(err).contains("based on version 1", "+ serving.worth = 9.0");
  }

  @Test
  void publishSucceedsWhenResponseIsLost() {
    platform.faults.add(FakePlatform.Fault.RESPONSE_LOST);

    assertThat(publish("", "")).isZero();
    assertThat(out).contains("published version 1");
    assertThat(platform.rows).hasSize(2);
  }

  /** A top-up must not be granted twice after a lost response or a repeated command. */
  @Test
  void budgetChangesTakeEffectOnce() {
    assertThat(create()).isZero();
    assertThat(create()).isZero();
    assertThat(out).contains("granted=100", "unchanged");
    platform.faults.add(FakePlatform.Fault.RESPONSE_LOST);
    platform.faults.add(FakePlatform.Fault.THROTTLED);
    assertThat(call("budgets", "top-up", "main", "--tokens", "50", "--id", "t2")).isZero();
    assertThat(call("budgets", "top-up", "main", "--tokens", "50", "--id", "t2")).isZero();
    assertThat(call("budgets", "top-up", "main", "--tokens", "51", "--id", "t2")).isEqualTo(1);
    assertThat(call("budgets", "set-lean", "main", "--lean", "strict")).isZero();

    assertThat(call("budgets", "balance", "main")).isZero();
    assertThat(out).contains("granted=150", "lean=strict");
    assertThat(call("budgets", "balance", "other")).isEqualTo(1);
  }

  /** A top-up must not discard tokens that were drawn between its read and its write. */
  @Test
  void topUpKeepsConcurrentDraw() {
    create();
    String key = TableKeys.budget("main");
    BudgetRow drawn = Json.read(platform.rows.get(key).value(), BudgetRow.class).withDrawn(60);
    platform.beforeNextWrite = () -> platform.put(key, Json.write(drawn));

    assertThat(call("budgets", "top-up", "main", "--tokens", "50", "--id", "t2")).isZero();
    assertThat(out).contains("granted=150 drawn=60");
  }

  @Test
  void drainsAndReturnsUpstreamKeepingComments() {
    publish("", "");

    assertThat(call("upstreams", "drain", "engine-1")).isZero();
    call("show", "--site", "north");
    assertThat(out).contains("upstreams.engine-1.leaving = true");
    assertThat(platform.objects.values())
        .anyMatch(body -> text(body).contains("# kept by edits") && text(body).contains("= true"));
    assertThat(call("upstreams", "drain", "engine-1")).isZero();
    assertThat(out).contains("already");
    assertThat(call("upstreams", "return", "engine-1")).isZero();
    call("show", "--site", "north");
    assertThat(out).contains("upstreams.engine-1.leaving = false");
    assertThat(call("upstreams", "drain", "engine-2")).isEqualTo(1);
  }

  /** A drain must not undo a version that another operator published concurrently. */
  @Test
  void drainIsReappliedAfterConcurrentPublish() {
    publish("", "");
    platform.beforeNextWrite = () -> publish("", "[serving]\nworth = 9.0\n");

    assertThat(call("upstreams", "drain", "engine-1")).isZero();
    call("show", "--site", "north");
    assertThat(out).contains("leaving = true", "serving.worth = 9.0");
  }

  @Test
  void confirmDeadAppliesOnceAndOnlyToLiveIncarnations() {
    platform.put(TableKeys.incarnation("n1"), Json.write(incarnation(IncarnationState.LIVE)));
    platform.put(TableKeys.incarnation("n2"), Json.write(incarnation(IncarnationState.CLOSED)));
    platform.faults.add(FakePlatform.Fault.RESPONSE_LOST);

    assertThat(call("hosts", "confirm-dead", "n1", "--reason", "seen powered off")).isZero();
    assertThat(call("hosts", "confirm-dead", "n2", "--reason", "x")).isEqualTo(1);
    assertThat(call("hosts", "confirm-dead", "n3", "--reason", "x")).isEqualTo(1);
    assertThat(call("hosts", "list")).isZero();
    assertThat(out).contains("state=dead", "proof=\"operator: seen powered off\"");
  }

  /**
   * Events must be in causal order, without duplicates from the two sources, and match the filters.
   */
  @Test
  void mergesTimelineInCausalOrder() {
    long now = System.currentTimeMillis();
    String day = Instant.ofEpochMilli(now).toString().substring(0, 10);
    platform.put(TableKeys.incarnation("n1"), Json.write(incarnation(IncarnationState.LIVE)));
    TimelineEvent first = event(now, 0, "n2", "reserved", "r1");
    TimelineEvent second = event(now, 1, "n1", "dispatched", "r1");
    platform.events =
        "{\"events\":["
            + Json.write(event(now, 2, "n1", "billed", "r2"))
            + ","
            + Json.write(second)
            + "],\"next\":2}";
    platform.objects.put(
        "events/" + day + "/n1/1",
        (Json.write(second) + "\n" + Json.write(first)).getBytes(StandardCharsets.UTF_8));

    assertThat(call("timeline", "--date", day)).isZero();
    assertThat(out.lines()).hasSize(3);
    assertThat(out).containsSubsequence("reserved", "dispatched", "billed");
    call("timeline", "--date", day, "--request", "r1", "--host", "host-1");
    assertThat(out.lines()).singleElement().asString().contains("dispatched");
    call("timeline", "--date", day, "--kind", "billed");
    assertThat(out.lines()).singleElement().asString().contains("billed");
  }

  @Test
  void reportsInAllFormatsAndFailsOnViolation() throws IOException {
    create();
    Bill bill =
        new Bill(
            "lab", "r/1", "main", "n1", "n1", "x", "writer", 40, 60, 2.0, "north", "f", 0, 0, 0);
    platform.put(TableKeys.bill("lab", "r/1"), Json.write(bill));
    platform.put(TableKeys.spent("n1", "main", "n1"), "{\"tokens\":100}");

    assertThat(call("report", "--date", "1970-01-01")).isZero();
    assertThat(out).startsWith("1970-01-01: went well");
    Path page = directory.resolve("page.html");
    assertThat(call("report", "--format", "html", "--output", page.toString())).isZero();
    assertThat(Files.readString(page)).startsWith("<!DOCTYPE html>");
    platform.put(TableKeys.spent("n1", "main", "n1"), "{\"tokens\":101}");
    assertThat(call("report", "--format", "json")).isEqualTo(1);
    assertThat(out).contains("\"verdict\":\"DID_NOT_GO_WELL\"");
    assertThat(call("report", "--date", "tomorrow")).isEqualTo(2);
    assertThat(call("requests", "show", "lab", "r/1")).isZero();
    assertThat(out).contains("outcome: served and billed", "100 tokens of main");
    assertThat(call("requests", "show", "lab", "r/2")).isEqualTo(1);
  }

  private int create() {
    return call("budgets", "create", "main", "--account", "lab", "--tokens", "100", "--id", "t1");
  }

  private int publish(String expected, String overlay) {
    try {
      Path base = Files.writeString(directory.resolve("base.toml"), BASE);
      Path north = Files.writeString(directory.resolve("north.toml"), overlay);
      List<String> args =
          new ArrayList<>(
              List.of(
                  "publish",
                  "--base",
                  base.toString(),
                  "--overlay",
                  "north=" + north,
                  "--author",
                  "ana",
                  "--note",
                  "test"));
      if (!expected.isEmpty()) {
        args.addAll(List.of("--expect-version", expected));
      }
      return call(args.toArray(new String[0]));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private int call(String... args) {
    List<String> all = new ArrayList<>(List.of(args));
    all.addAll(List.of("--platform", platform.url()));
    return run(all.toArray(new String[0]));
  }

  private int run(String... args) {
    ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
    ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
    int code =
        new HibiscusreelCtl(
                command ->
                    PlatformClient.connect(
                        command::tableUrl, command::objectsUrl, command::hostsUrl, 2_000),
                new PrintStream(outBytes, true, StandardCharsets.UTF_8),
                new PrintStream(errBytes, true, StandardCharsets.UTF_8))
            .run(args);
    out = outBytes.toString(StandardCharsets.UTF_8);
    err = errBytes.toString(StandardCharsets.UTF_8);
    return code;
  }

  private IncarnationRow incarnation(IncarnationState state) {
    return new IncarnationRow("host-1", "n-a", "north", "", platform.address(), "", state, "", 1);
  }

  private static TimelineEvent event(
      long wall, int counter, String process, String kind, String request) {
    return new TimelineEvent(
        new HybridTimestamp(wall, counter), process, kind, "lab", request, "", "", "");
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }
}
