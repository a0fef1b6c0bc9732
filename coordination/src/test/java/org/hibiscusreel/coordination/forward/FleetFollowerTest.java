package org.hibiscusreel.coordination.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.port.ChangeFeed;
import org.hibiscusreel.coordination.testing.FakeTable;
import org.hibiscusreel.coordination.testing.VirtualScheduler;
import org.hibiscusreel.core.forward.CallerLimits;
import org.hibiscusreel.core.forward.ForwardingTable;
import org.hibiscusreel.core.forward.UpstreamEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FleetFollowerTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final FakeTable table = new FakeTable(scheduler);
  private final ScriptedFeed feed = new ScriptedFeed();
  private final List<Long> versions = new ArrayList<>();
  private final List<String> removedUpstreams = new ArrayList<>();
  private final List<String> peers = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private boolean isListenerFailing;
  private final FleetFollower follower =
      new FleetFollower(
          feed,
          table,
          scheduler,
          "host",
          new FleetFollower.HostRow("host.1", "127.0.0.1:7"),
          new FleetFollower.RowFormat(
              "configurations",
              "upstreams",
              c -> RowValue.parse(c.value(), v -> configuration(Long.parseLong(v))),
              FleetFollowerTest::upstream),
          (e, f) -> log.add(e + " " + f.get("table")),
          new FleetFollower.Listener() {
            @Override
            public void onConfiguration(ForwardingTable t) {
              failIfProgrammed();
              versions.add(t.version());
            }

            @Override
            public void onUpstreamsRemoved(List<String> ids) {
              failIfProgrammed();
              removedUpstreams.addAll(ids);
            }

            @Override
            public void onPeers(List<String> addresses) {
              peers.addAll(addresses);
            }
          });

  private void failIfProgrammed() {
    if (isListenerFailing) {
      throw new IllegalStateException("the listener fails");
    }
  }

  /** Guards against a daemon that the others don't count since the run before left late. */
  @Test
  void registersAgainAfterLateRemoval() {
    follower.start();
    scheduler.run(1_000);
    table.remove("hosts//host");
    scheduler.run(2 * FleetFollower.DAEMON_COUNT_INTERVAL_MILLIS);
    assertThat(table.all("hosts//")).hasSize(1);
  }

  private static ForwardingTable configuration(long version) {
    return new ForwardingTable(
        version, new CallerLimits(1, 1, 1), List.of(), List.of(), List.of(), Map.of());
  }

  private static RowValue<UpstreamEntry> upstream(ChangeFeed.Change change) {
    return RowValue.parse(change.value(), v -> entry(change.key(), v));
  }

  private static UpstreamEntry entry(String id, String text) throws IOException {
    if (text.equals("invalid")) {
      throw new IOException("invalid");
    }
    return new UpstreamEntry(id, "s", text, "d", text.equals("leaving"), 1, 0);
  }

  /**
   * Responds to each call with the next scripted result; a poll without one waits until its
   * timeout.
   */
  private final class ScriptedFeed implements ChangeFeed {

    /** Time by which each response is delayed. */
    private long congestionMillis;

    private final List<CompletableFuture<Result>> calls = new ArrayList<>();

    private final Map<String, Deque<Result>> all =
        Map.of("configurations", new ArrayDeque<>(), "upstreams", new ArrayDeque<>());
    private final Map<String, Deque<Result>> polls =
        Map.of("configurations", new ArrayDeque<>(), "upstreams", new ArrayDeque<>());

    @Override
    public CompletableFuture<Result> readAll(String name) {
      return later(5, all.get(name), new Result.Failed("none"));
    }

    @Override
    public CompletableFuture<Result> poll(String name, long position, long waitMillis) {
      Deque<Result> scripted = polls.get(name);
      long delayMillis = scripted.isEmpty() ? waitMillis : 5;
      return later(delayMillis, scripted, new Result.Changes(List.of(), position));
    }

    /** Responds with the next scripted result, which a cancelled call leaves to the next one. */
    private CompletableFuture<Result> later(
        long delayMillis, Deque<Result> scripted, Result otherwise) {
      CompletableFuture<Result> f = new CompletableFuture<>();
      calls.add(f);
      scheduler.schedule(
          delayMillis + congestionMillis,
          () -> {
            if (!f.isDone()) {
              Result next = scripted.poll();
              f.complete(next == null ? otherwise : next);
            }
          });
      return f;
    }

    private long callsInProgress() {
      return calls.stream().filter(f -> !f.isDone()).count();
    }
  }

  private static ChangeFeed.Result changes(long position, String... keysAndValues) {
    List<ChangeFeed.Change> list = new ArrayList<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      list.add(new ChangeFeed.Change(keysAndValues[i], Optional.ofNullable(keysAndValues[i + 1])));
    }
    return new ChangeFeed.Result.Changes(list, position);
  }

  private List<String> usable() {
    return follower.upstreams().usable("s", scheduler.nowMillis()).stream()
        .map(UpstreamEntry::id)
        .toList();
  }

  private void start() {
    feed.all.get("configurations").add(changes(10, "config", "5"));
    feed.all.get("upstreams").add(changes(10, "a", "x", "b", "x"));
    follower.start();
    scheduler.run(100);
  }

  @Test
  void isReadyOnceConfigurationAndUpstreamsAreKnown() {
    assertThat(follower.isReady()).isFalse();
    start();
    assertThat(follower.isReady()).isTrue();
    assertThat(usable()).containsExactly("a", "b");
    assertThat(table.all("hosts//")).hasSize(1);
    table.put("hosts//other", new FleetFollower.HostRow("other.1", "127.0.0.1:8"));
    scheduler.run(FleetFollower.DAEMON_COUNT_INTERVAL_MILLIS);
    assertThat(peers).contains("127.0.0.1:8").doesNotContain("127.0.0.1:7");
  }

  /** Guards against reverting to an older configuration after a stale read of the store. */
  @Test
  void neverAppliesAnOlderConfiguration() {
    feed.polls.get("configurations").add(changes(12, "config", "7"));
    feed.polls.get("configurations").add(new ChangeFeed.Result.HistoryLost());
    start();
    feed.all.get("configurations").add(changes(11, "config", "6"));
    feed.all.get("configurations").add(changes(13, "config", "6"));
    scheduler.run(2_000);
    assertThat(versions).containsExactly(5L, 7L);
  }

  @Test
  void readsAllRowsAgainAfterHistoryLoss() {
    feed.polls.get("upstreams").add(new ChangeFeed.Result.HistoryLost());
    feed.all.get("upstreams").add(changes(10, "a", "x", "b", "x"));
    feed.all.get("upstreams").add(changes(20, "b", "x", "c", "x"));
    feed.all.get("configurations").add(changes(10, "config", "5"));
    follower.start();
    scheduler.run(500);
    assertThat(usable()).containsExactly("b", "c");
    assertThat(removedUpstreams).containsExactly("a");
  }

  @Test
  void stopsUsingLeavingRemovedAndInvalidUpstreams() {
    feed.polls.get("upstreams").add(changes(11, "a", "leaving"));
    feed.polls.get("upstreams").add(changes(12, "b", null, "c", "invalid"));
    start();
    assertThat(usable()).isEmpty();
    assertThat(removedUpstreams).containsExactly("b");
  }

  @Test
  void recordsEachFailedCallAndTheAgeOfTheConfiguration() {
    start();
    scheduler.run(5 * FeedFollower.POLL_TIMEOUT_MILLIS);
    assertThat(follower.configurationAgeMillis()).isLessThan(FeedFollower.POLL_TIMEOUT_MILLIS);
    feed.polls.get("configurations").addAll(failures(2));
    feed.all.get("configurations").add(changes(10, "config", "5"));
    feed.all.get("configurations").add(changes(10, "config", "5"));
    scheduler.run(2 * FeedFollower.POLL_TIMEOUT_MILLIS);
    assertThat(log).filteredOn(line -> line.equals("store_call_failed configurations")).hasSize(2);
    feed.polls.values().forEach(polls -> polls.addAll(failures(20)));
    scheduler.run(2_500);
    assertThat(follower.configurationAgeMillis()).isGreaterThan(2_000);
  }

  /** Guards against serving from a first read that the store answered from an earlier state. */
  @Test
  void isNotReadyBeforeThePollThatConfirmsTheFirstRead() {
    feed.polls.get("configurations").add(new ChangeFeed.Result.HistoryLost());
    feed.all.get("configurations").add(changes(8, "config", "4"));
    feed.all.get("upstreams").add(changes(10, "a", "x"));
    follower.start();
    scheduler.run(1_000);
    assertThat(versions).containsExactly(4L);
    assertThat(follower.isReady()).isFalse();
    feed.all.get("configurations").add(changes(10, "config", "5"));
    scheduler.run(1_000);
    assertThat(versions).containsExactly(4L, 5L);
    assertThat(follower.isReady()).isTrue();
  }

  @Test
  void knowsThatOthersHaveNewerConfigurationUntilItHasThatOne() {
    start();
    follower.onPeerVersion(7);
    scheduler.run(2_000);
    assertThat(follower.configurationLagMillis()).isEqualTo(2_000);
    feed.polls.get("configurations").add(changes(12, "config", "7"));
    scheduler.run(2_000);
    assertThat(follower.configurationLagMillis()).isZero();
  }

  /** Guards against losing all contact while responses take longer than a poll waits. */
  @Test
  void learnsOfChangesWhileResponsesAreLate() {
    start();
    feed.congestionMillis = 8_000;
    scheduler.run(8_000);
    feed.polls.get("configurations").add(changes(12, "config", "7"));
    scheduler.run(18_000);
    assertThat(versions).containsExactly(5L, 7L);
    assertThat(log).contains("store_lost configurations", "store_regained configurations");
  }

  /** Guards against loading all versions of a large row that were written during an outage. */
  @Test
  void readsTableInsteadOfItsHistoryAfterFailure() {
    feed.polls.get("configurations").add(changes(10));
    feed.polls.get("configurations").add(new ChangeFeed.Result.Failed("down"));
    feed.all.get("configurations").add(changes(10, "config", "5"));
    feed.all.get("configurations").add(changes(20, "config", "9"));
    feed.all.get("upstreams").add(changes(10, "a", "x"));
    follower.start();
    scheduler.run(500);
    assertThat(versions).containsExactly(5L, 9L);
  }

  /** Guards against a daemon that falls behind ever further while each version takes long. */
  @Test
  void readsTableInsteadOfItsHistoryWhenVersionsOutpaceTheLink() {
    start();
    feed.congestionMillis = FeedFollower.OVERDUE_MILLIS;
    scheduler.run(FeedFollower.POLL_TIMEOUT_MILLIS);
    feed.polls.get("configurations").add(changes(14, "config", "6", "config", "7"));
    feed.all.get("configurations").add(changes(20, "config", "9"));
    scheduler.run(3 * FeedFollower.OVERDUE_MILLIS);
    assertThat(versions).containsExactly(5L, 7L, 9L);
  }

  /** Guards against a daemon that waits for reads to catch up although it can follow changes. */
  @Test
  void followsChangesWhenReadAfterFailureIsStale() {
    feed.polls.get("configurations").add(changes(12, "config", "7"));
    feed.polls.get("configurations").add(new ChangeFeed.Result.Failed("down"));
    feed.polls.get("configurations").add(changes(13, "config", "8"));
    feed.all.get("configurations").add(changes(10, "config", "5"));
    feed.all.get("configurations").add(changes(11, "config", "6"));
    feed.all.get("upstreams").add(changes(10, "a", "x"));
    follower.start();
    scheduler.run(500);
    assertThat(versions).containsExactly(5L, 7L, 8L);
  }

  /** Guards against taking over each of many versions that arrive together. */
  @Test
  void appliesOnlyTheNewestOfSeveralVersions() {
    feed.polls.get("configurations").add(changes(14, "config", "6", "config", "7", "config", "9"));
    start();
    assertThat(versions).containsExactly(5L, 9L);
  }

  /**
   * Guards against conclusions from a time in which an upstream or a configuration may have come
   * and gone unseen, since the store sent only the newest change of a row, or sent it late.
   */
  @ParameterizedTest
  @CsvSource({
    "upstreams, c, x, 0, true",
    "upstreams, c, , 0, false",
    "upstreams, b, , 0, true",
    "upstreams, c, x, 3_000, false",
    "configurations, config, 7, 0, true",
    "configurations, config, 7, 3_000, false"
  })
  void knowsForHowLongNoChangeWasMissed(
      String name, String row, String value, String millisLate, boolean isGapless) {
    start();
    scheduler.run(20_000);
    feed.congestionMillis = Long.parseLong(millisLate.replace("_", ""));
    scheduler.run(FeedFollower.POLL_TIMEOUT_MILLIS);
    feed.polls.get(name).add(changes(11, row, value));
    scheduler.run(4_500);
    feed.congestionMillis = 0;
    long followedMillis =
        name.equals("upstreams")
            ? follower.upstreamsFollowedMillis()
            : follower.configurationFollowedMillis();
    assertThat(followedMillis >= 20_000).isEqualTo(isGapless);
  }

  /**
   * Guards against streams that are refused for 16 s, since a row that is no configuration changed
   * together with the configuration, or alone after a late answer.
   */
  @ParameterizedTest
  @CsvSource({"'config,7,other,x', 0", "'other,x,config,7', 0", "'other,x', 3_000"})
  void missesNoConfigurationBesideOtherRows(String rows, String millisLate) {
    start();
    scheduler.run(20_000);
    feed.congestionMillis = Long.parseLong(millisLate.replace("_", ""));
    scheduler.run(FeedFollower.POLL_TIMEOUT_MILLIS);
    feed.polls.get("configurations").add(changes(11, rows.split(",", -1)));
    scheduler.run(4_500);
    assertThat(follower.configurationFollowedMillis()).isGreaterThanOrEqualTo(20_000);
  }

  /** Guards against losing all upstreams that a read after an outage lacks. */
  @Test
  void keepsUpstreamsThatReadAfterAnOutageLacksBriefly() {
    start();
    feed.polls.get("upstreams").add(new ChangeFeed.Result.Failed("down"));
    feed.all.get("upstreams").add(changes(12));
    scheduler.run(2_000);
    assertThat(usable()).containsExactly("a", "b");
    scheduler.run(2_000);
    assertThat(usable()).isEmpty();
  }

  /** Guards against reading a large table without pause while reads lag behind the history. */
  @Test
  void pausesBetweenReadsThatCannotBeConfirmed() {
    int scripted = 1_000;
    feed.polls
        .get("configurations")
        .addAll(Collections.nCopies(scripted, new ChangeFeed.Result.HistoryLost()));
    feed.all
        .get("configurations")
        .addAll(Collections.nCopies(scripted, changes(10, "config", "5")));
    follower.start();
    scheduler.run(3_000);
    int reads = scripted - feed.all.get("configurations").size();
    assertThat(reads).isBetween(2, (int) (3_000 / FeedFollower.RETRY_DELAY_MILLIS) + 1);
  }

  /** Guards against a first read that is never confirmed while responses are late. */
  @Test
  void startsWhileResponsesAreLate() {
    feed.congestionMillis = 8_000;
    feed.all.get("configurations").add(changes(10, "config", "5"));
    feed.all.get("upstreams").add(changes(10, "a", "x"));
    follower.start();
    scheduler.run(18_000);
    assertThat(follower.isReady()).isTrue();
  }

  /** Guards against calls that pile up while the store is silent, and a late start afterwards. */
  @Test
  void keepsFewCallsInProgressWhileTheStoreIsSilent() {
    start();
    feed.congestionMillis = 60_000;
    scheduler.run(20_000);
    assertThat(feed.callsInProgress()).isEqualTo(2L * FeedFollower.MAX_CALLS);
    feed.congestionMillis = 0;
    feed.polls.get("configurations").add(changes(12, "config", "7"));
    scheduler.run(FeedFollower.OVERDUE_MILLIS + 10);
    assertThat(versions).containsExactly(5L, 7L);
    scheduler.run(FeedFollower.POLL_TIMEOUT_MILLIS);
    assertThat(feed.callsInProgress()).isEqualTo(2);
  }

  private static List<ChangeFeed.Result> failures(int count) {
    return Collections.nCopies(count, new ChangeFeed.Result.Failed("down"));
  }

  /** Guards against using an odd row for the grace period that is meant for missing rows. */
  @Test
  void dropsUpstreamWhoseRowIsOddAfterAnOutageAtOnce() {
    start();
    feed.polls.get("upstreams").add(new ChangeFeed.Result.Failed("down"));
    feed.all.get("upstreams").add(changes(11, "a", "invalid", "b", "x"));
    feed.polls.get("upstreams").add(changes(12, "b", "invalid"));
    scheduler.run(1_300);
    assertThat(usable()).isEmpty();
    assertThat(removedUpstreams).containsExactly("a", "b");
    assertThat(log).filteredOn(line -> line.startsWith("upstream_unusable")).hasSize(2);
  }

  /** Guards against losing all upstreams whose entries expired while the store was unavailable. */
  @Test
  void keepsExpiredUpstreamsBrieflyAfterTheStoreIsAvailableAgain() {
    start();
    feed.polls.get("upstreams").add(new ChangeFeed.Result.Failed("down"));
    feed.all.get("upstreams").add(changes(11, "a", "x", "b", "x"));
    feed.polls.get("upstreams").add(changes(12, "a", null, "b", null));
    feed.polls.get("upstreams").add(changes(13, "a", "x"));
    scheduler.run(1_500);
    assertThat(usable()).containsExactly("a", "b");
    scheduler.run(2_500);
    assertThat(usable()).containsExactly("a");
  }

  /** Guards against losing all other daemons because another writer has spoilt one row. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "x",
        "null",
        "[]",
        "{}",
        "{\"incarnation\":\"x.1\"}",
        "{\"incarnation\":\"x.1\",\"address\":null}",
        "{\"incarnation\":\"x.1\",\"address\":5}",
        "{\"incarnation\":\"x.1\",\"address\":\"10.0.0.1\"}",
        "{\"incarnation\":\"x.1\",\"address\":\"10.0.0.1:0\"}",
        "{\"incarnation\":\"x.1\",\"address\":\"10.0.0.1:70000\"}",
        "{\"incarnation\":\"x.1\",\"address\":\"somewhere:80\"}"
      })
  void countsAndKnowsTheOtherDaemonsBesideSpoiltRows(String text) {
    table.putText("hosts//a", text);
    table.put("hosts//other", new FleetFollower.HostRow("other.1", "127.0.0.1:8"));
    start();
    scheduler.run(3 * FleetFollower.DAEMON_COUNT_INTERVAL_MILLIS);
    assertThat(peers).containsOnly("127.0.0.1:8");
    assertThat(follower.daemonCount()).isEqualTo(3);
    assertThat(log).filteredOn("host_unusable null"::equals).hasSize(1);
  }

  /** Guards against a daemon that the others no longer know because its row was spoilt. */
  @Test
  void replacesItsOwnRowIfThatIsSpoilt() {
    start();
    table.putText("hosts//host", "x");
    scheduler.run(2 * FleetFollower.DAEMON_COUNT_INTERVAL_MILLIS);
    assertThat(table.get("hosts//host", FleetFollower.HostRow.class).address())
        .isEqualTo("127.0.0.1:7");
  }

  /** Guards against a follower that stops, or skips later changes, when its listener fails. */
  @Test
  void followsOnAfterFailureOfTheListener() {
    isListenerFailing = true;
    feed.polls.get("configurations").add(changes(12, "config", "6"));
    feed.polls.get("upstreams").add(changes(12, "a", null));
    feed.polls.get("upstreams").add(changes(13, "c", "x"));
    start();
    assertThat(usable()).containsExactly("b", "c");
    isListenerFailing = false;
    feed.polls.get("configurations").add(changes(13, "config", "7"));
    scheduler.run(FeedFollower.POLL_TIMEOUT_MILLIS + 100);
    assertThat(versions).contains(7L);
    assertThat(log).contains("rows_not_applied upstreams", "rows_not_applied configurations");
    assertThat(log).noneMatch(line -> line.startsWith("store_call_overdue"));
  }
}
