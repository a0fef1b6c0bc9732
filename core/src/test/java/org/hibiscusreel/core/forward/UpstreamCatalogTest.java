package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamCatalogTest {

  private static final long FAR = 100_000;

  private final UpstreamCatalog catalog = new UpstreamCatalog();

  private static UpstreamEntry entry(String id, boolean leaving) {
    return new UpstreamEntry(id, "s", "a:1", "d", leaving, 4, 0);
  }

  private List<String> usable(long now) {
    return catalog.usable("s", now).stream().map(UpstreamEntry::id).toList();
  }

  @Test
  void listsUpstreamsOfTheServiceThatDoNotLeave() {
    catalog.put(entry("a", false));
    catalog.put(entry("b", true));
    catalog.put(new UpstreamEntry("c", "other", "a:1", "d", false, 4, 0));
    assertThat(usable(0)).containsExactly("a");
    assertThat(catalog.size()).isEqualTo(3);
  }

  @Test
  void tellsWhetherAnEntryChanged() {
    assertThat(catalog.put(entry("a", false))).isTrue();
    assertThat(catalog.put(entry("a", false))).isFalse();
    assertThat(catalog.put(entry("a", true))).isTrue();
  }

  @Test
  void forgetsAtOnceWhatIsRemovedWhileTheStoreAnswers() {
    catalog.put(entry("a", false));
    assertThat(catalog.remove("a", FAR)).isTrue();
    assertThat(usable(FAR)).isEmpty();
    assertThat(catalog.remove("a", FAR)).isFalse();
  }

  /** Guards against refusing everything after an outage in which the entries lapsed. */
  @Test
  void keepsLapsedEntriesUntilTheGraceIsOver() {
    catalog.put(entry("a", false));
    catalog.put(entry("b", false));
    catalog.onStoreRegained(FAR);
    catalog.replaceAll(List.of(), FAR + 10);
    assertThat(usable(FAR + 10)).containsExactly("a", "b");
    catalog.put(entry("b", false));
    assertThat(usable(FAR + UpstreamCatalog.LAPSE_GRACE_MILLIS)).containsExactly("b");
  }

  /** Guards against requests for an upstream that left just when the store answered again. */
  @Test
  void endsTheGraceBeforeTheBoundForUpstreamsThatLeft() {
    final long drainBoundMillis = 2_000;
    catalog.put(entry("a", false));
    catalog.onStoreRegained(FAR);
    assertThat(catalog.remove("a", FAR + 1)).isFalse();
    assertThat(usable(FAR + drainBoundMillis - 100)).isEmpty();
  }

  /** Guards against new requests for an upstream that said it leaves and then went. */
  @Test
  void givesNoGraceToUpstreamsThatLeave() {
    catalog.put(entry("a", true));
    catalog.onStoreRegained(FAR);
    assertThat(catalog.remove("a", FAR + 10)).isTrue();
  }
}
