package org.hibiscusreel.coordination.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.timeline.HybridClock;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.hibiscusreel.wire.FetchConfigurationRequest;
import org.hibiscusreel.wire.FetchConfigurationResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationFollowerTest {

  private static final String SEED = "127.0.0.1:9";
  private static final MemberInfo SELF = member("self", "127.0.0.1:1");
  private static final MemberInfo FIRST = member("first", "127.0.0.1:2");
  private static final MemberInfo SECOND = member("second", "127.0.0.1:3");

  private final FakePlatform platform = new FakePlatform();
  private final Random random = new Random(7);
  private final List<TimelineEvent> events = new ArrayList<>();
  private final List<Long> applied = new ArrayList<>();
  private final List<MemberInfo> ranked = new ArrayList<>(List.of(SELF, FIRST, SECOND));
  private Optional<FetchConfigurationResponse> peerResponse = Optional.empty();
  private final ConfigurationFollower follower = follower();

  @Test
  void pollerPollsEachSecond() {
    follower.start();
    platform.advance(10_000);

    assertThat(platform.reads).isEqualTo(11);
  }

  /** Guards against polls each second by every daemon of a large deployment. */
  @Test
  void nonPollerPollsRarelyWhilePollersReport() {
    makeSelfNotPoller();
    follower.start();
    for (int i = 0; i < 30; i++) {
      platform.advance(1_000);
      follower.onPeerVersion(0, FIRST.peerAddress());
    }

    assertThat(platform.reads).isBetween(5, 7);
  }

  /**
   * Guards against a change that is delayed for longer than 8 s by pollers that are cut off from
   * the platform.
   */
  @Test
  void appliesChangeWithinBoundAlthoughPollersReportOldVersion() {
    makeSelfNotPoller();
    publish(1);
    follower.start();
    publish(2);
    for (int i = 0; i < 8; i++) {
      platform.advance(1_000);
      follower.onPeerVersion(1, FIRST.peerAddress());
    }

    assertThat(follower.version()).isEqualTo(2);
  }

  @Test
  void fetchesBodyFromPeerWhenThePlatformIsDown() {
    publish(1);
    platform.down = true;
    peerResponse = responseWith(1, ConfigurationBodies.numbered(1).toBytes());
    follower.start();

    assertThat(follower.version()).isEqualTo(1);
    assertThat(follower.current().orElseThrow().serving().maxTokens()).isEqualTo(1);
  }

  /** Guards against a follower that stops at a head row that another writer has spoilt. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "x",
        "null",
        "[]",
        "{}",
        "{\"version\":\"many\"}",
        "{\"version\":99999999999999999999,\"digest\":\"x\"}",
        "{\"version\":1e999999999,\"digest\":\"x\"}"
      })
  void followsOnAfterSpoiltHeadRow(String text) {
    publish(1);
    follower.start();
    String key = platform.rows.firstKey();
    Row head = platform.rows.get(key);
    platform.rows.put(key, new Row(key, head.version() + 1, text));
    platform.advance(3_000);
    assertThat(follower.version()).isEqualTo(1);
    platform.rows.put(key, head);
    publish(2);
    platform.advance(3_000);
    assertThat(follower.version()).isEqualTo(2);
  }

  @Test
  void refusesBodyThatDoesNotMatchItsDigest() {
    publish(1);
    platform.stored.replaceAll((key, body) -> ConfigurationBodies.numbered(9).toBytes());
    follower.start();
    platform.advance(5_000);

    assertThat(follower.current()).isEmpty();
    assertThat(refusals()).singleElement().asString().contains("does not match its digest");
  }

  /**
   * Guards against applying a published body that a newer program accepted but this one can't
   * validate.
   */
  @Test
  void refusesBodyThatDoesNotValidate() {
    publish(1);
    follower.start();
    byte[] invalid = new ConfigurationBody("[serving]\nworth = -1\n", Map.of()).toBytes();
    String digest = ConfigurationBody.digest(invalid);
    platform.stored.put(ConfigurationBody.objectKey(digest), invalid);
    platform.rows.computeIfPresent(
        TableKeys.CONFIG_HEAD,
        (key, row) ->
            new org.hibiscusreel.coordination.port.Row(
                key, row.version() + 1, Json.write(new ConfigurationHead(2, digest))));
    platform.advance(5_000);

    assertThat(follower.version()).isEqualTo(1);
    assertThat(refusals()).singleElement().asString().contains("is not valid");
  }

  @Test
  void answersOnlyWithNewerVersion() {
    publish(1);
    follower.start();

    assertThat(fetch(0).getVersion()).isEqualTo(1);
    assertThat(fetch(0).getBody().toByteArray())
        .isEqualTo(ConfigurationBodies.numbered(1).toBytes());
    assertThat(fetch(1).getBody().isEmpty()).isTrue();
  }

  @Test
  void doesNothingAfterStop() {
    follower.start();
    follower.stop();
    publish(1);
    platform.advance(20_000);

    assertThat(follower.version()).isZero();
  }

  /** Guards against a version that decreases, or a follower that never catches up (I8). */
  @Property(tries = 300, seed = "20261204")
  void versionNeverGoesBack(
      @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 11) Integer> steps) {
    ConfigurationFollowerTest run = new ConfigurationFollowerTest();
    final int newest = run.runSteps(steps);

    run.platform.down = false;
    run.peerResponse = Optional.empty();
    run.platform.advance(ConfigurationFollower.MAX_POLL_INTERVAL_MILLIS + 1_000);

    assertThat(run.applied).isSorted().doesNotHaveDuplicates();
    assertThat(run.follower.version()).isEqualTo(newest);
    if (newest > 0) {
      assertThat(run.fetch(0).getBody().toByteArray())
          .isEqualTo(ConfigurationBodies.numbered(newest).toBytes());
    }
  }

  private int runSteps(List<Integer> steps) {
    follower.addListener(c -> applied.add(c.version()));
    follower.start();
    int newest = 0;
    for (int step : steps) {
      switch (step) {
        case 0, 1 -> publish(++newest);
        case 2 -> platform.down = !platform.down;
        case 3, 4 -> platform.advance(700);
        case 5 -> peerResponse = Optional.empty();
        case 6 ->
            peerResponse =
                responseWith(newest, ConfigurationBodies.numbered(Math.max(1, newest)).toBytes());
        case 7 -> peerResponse = responseWith(Math.max(1, newest - 1), invalidBody(newest));
        case 8 ->
            peerResponse =
                responseWith(Math.min(1, newest), ConfigurationBodies.numbered(1).toBytes());
        case 9 -> follower.onPeerVersion(newest, FIRST.peerAddress());
        case 10 -> follower.onPeerVersion(0, SECOND.peerAddress());
        default -> {
          if (!ranked.remove(SELF)) {
            ranked.add(0, SELF);
          }
        }
      }
      assertThat(follower.version()).isLessThanOrEqualTo(newest);
    }
    return newest;
  }

  private static byte[] invalidBody(int number) {
    return number % 2 == 0
        ? "{\"base\":".getBytes(StandardCharsets.UTF_8)
        : new ConfigurationBody("[serving]\nworth = -1\n", Map.of()).toBytes();
  }

  private void makeSelfNotPoller() {
    ranked.remove(SELF);
    ranked.add(SELF);
  }

  private void publish(int number) {
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(platform, platform, platform, random::nextLong);
    boolean down = platform.down;
    platform.down = false;
    PublishResult result =
        publisher
            .publish(ConfigurationBodies.numbered(number), "ana", "", OptionalLong.empty())
            .getNow(null);
    platform.down = down;
    assertThat(result).isInstanceOf(PublishResult.Published.class);
  }

  private List<String> refusals() {
    return events.stream()
        .filter(event -> event.kind().equals("configuration_refused"))
        .map(TimelineEvent::detail)
        .toList();
  }

  private FetchConfigurationResponse fetch(long newerThan) {
    return follower
        .fetchConfiguration(FetchConfigurationRequest.newBuilder().setNewerThan(newerThan).build())
        .getNow(null);
  }

  private static Optional<FetchConfigurationResponse> responseWith(long version, byte[] body) {
    return Optional.of(
        FetchConfigurationResponse.newBuilder()
            .setVersion(version)
            .setBody(ByteString.copyFrom(body))
            .build());
  }

  private ConfigurationFollower follower() {
    return new ConfigurationFollower(
        platform,
        platform,
        platform,
        peers(),
        new FixedMembershipView(),
        new EventRecorder(new HybridClock(platform::wallMillis), "self", events::add),
        "north",
        List.of(SEED),
        random::nextLong);
  }

  /**
   * Returns a transport that answers every call with the current response; the follower makes only
   * one kind of call.
   */
  private PeerTransport peers() {
    return (PeerTransport)
        Proxy.newProxyInstance(
            PeerTransport.class.getClassLoader(),
            new Class<?>[] {PeerTransport.class},
            (proxy, method, args) -> CompletableFuture.completedFuture(peerResponse));
  }

  private static MemberInfo member(String name, String address) {
    return new MemberInfo(name, name, "n-a", "north", address, address);
  }

  private final class FixedMembershipView implements MembershipView {

    @Override
    public MemberInfo self() {
      return SELF;
    }

    @Override
    public List<MemberInfo> alive() {
      return ranked;
    }

    @Override
    public List<MemberInfo> rank(String failureDomain, String key) {
      return ranked;
    }

    @Override
    public Set<String> leavingUpstreams() {
      return Set.of();
    }

    @Override
    public void markUpstreamLeaving(String upstream) {}

    @Override
    public void markUpstreamReturned(String upstream) {}
  }
}
