package org.hibiscusreel.coordination.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.junit.jupiter.api.Test;

class ConfigurationPublisherTest {

  private final FakePlatform platform = new FakePlatform();
  private final Random random = new Random(1);
  private final ConfigurationPublisher publisher =
      new ConfigurationPublisher(platform, platform, platform, random::nextLong);

  @Test
  void publishesConsecutiveVersions() {
    assertThat(publish(1, OptionalLong.of(0))).isInstanceOf(PublishResult.Published.class);
    PublishResult second = publish(2, OptionalLong.empty());

    assertThat(((PublishResult.Published) second).version()).isEqualTo(2);
    assertThat(platform.rows)
        .containsKeys(
            TableKeys.CONFIG_HEAD, TableKeys.configVersion(1), TableKeys.configVersion(2));
  }

  @Test
  void writesNothingIfInvalid() {
    ConfigurationBody invalid = new ConfigurationBody("[serving]\nworth = -1\n", Map.of());

    PublishResult result = publisher.publish(invalid, "ana", "", OptionalLong.empty()).getNow(null);

    assertThat(((PublishResult.Invalid) result).errors()).anyMatch(e -> e.contains("base:2:"));
    assertThat(platform.rows).isEmpty();
    assertThat(platform.stored).isEmpty();
  }

  /** Guards against the second of two publishers that overwrites the first. */
  @Test
  void reportsConflictToTheSecondPublisher() {
    platform.beforeNextWrite = () -> publish(1, OptionalLong.empty());

    PublishResult result = publish(2, OptionalLong.empty());

    assertThat(((PublishResult.Conflict) result).head().version()).isEqualTo(1);
    assertThat(((PublishResult.Conflict) result).head().digest()).isEqualTo(digest(1));
  }

  @Test
  void refusesUnexpectedVersion() {
    publish(1, OptionalLong.empty());

    assertThat(publish(2, OptionalLong.of(0))).isInstanceOf(PublishResult.Conflict.class);
    assertThat(platform.rows).doesNotContainKey(TableKeys.configVersion(2));
  }

  /** Guards against attributing the publisher's own write to another publisher. */
  @Test
  void resolvesLostResponse() {
    platform.faults.add(FakePlatform.Fault.RESPONSE_LOST);

    assertThat(publish(1, OptionalLong.empty()))
        .isEqualTo(new PublishResult.Published(1, digest(1)));
    assertThat(platform.rows).doesNotContainKey(TableKeys.configVersion(2));
  }

  /** Guards against attributing the equal content of another publisher to the publisher itself. */
  @Test
  void distinguishesEqualPublications() {
    platform.faults.add(FakePlatform.Fault.REQUEST_LOST);
    CompletableFuture<PublishResult> first =
        publisher.publish(ConfigurationBodies.numbered(1), "ana", "", OptionalLong.empty());
    publish(1, OptionalLong.empty());
    platform.advance(10_000);

    assertThat(first.getNow(null)).isInstanceOf(PublishResult.Conflict.class);
  }

  /** Guards against a throttled write that is reported as unknown, and the reverse. */
  @Test
  void distinguishesCertainFromUnknownOutcomes() {
    for (int i = 0; i < 10; i++) {
      platform.faults.add(FakePlatform.Fault.THROTTLED);
    }
    assertThat(publish(1, OptionalLong.empty())).isInstanceOf(PublishResult.Unavailable.class);
    platform.faults.addFirst(FakePlatform.Fault.REQUEST_LOST);
    platform.faults.add(FakePlatform.Fault.THROTTLED);
    platform.faults.add(FakePlatform.Fault.THROTTLED);
    assertThat(publish(1, OptionalLong.empty())).isInstanceOf(PublishResult.Unknown.class);
  }

  private PublishResult publish(int number, OptionalLong expected) {
    CompletableFuture<PublishResult> result =
        publisher.publish(ConfigurationBodies.numbered(number), "ana", "note", expected);
    platform.advance(10_000);
    return result.getNow(null);
  }

  private static String digest(int number) {
    return ConfigurationBody.digest(ConfigurationBodies.numbered(number).toBytes());
  }
}
