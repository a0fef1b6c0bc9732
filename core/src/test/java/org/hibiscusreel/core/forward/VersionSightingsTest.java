package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VersionSightingsTest {

  private final VersionSightings sightings = new VersionSightings();

  /** Guards against a late report of an earlier time that hides a later sighting. */
  @Test
  void keepsTheLatestSighting() {
    StreamOrigin version = new StreamOrigin("s", "v1");
    assertThat(sightings.add(version, 500)).isTrue();
    assertThat(sightings.add(version, 300)).isFalse();
    sightings.add(new StreamOrigin("t", "v1"), 600);
    assertThat(sightings.since("s", 500)).containsExactly(version);
    assertThat(sightings.since("s", 501)).isEmpty();
    sightings.expire(501);
    assertThat(sightings.all()).containsExactly(new StreamOrigin("t", "v1"));
  }
}
