package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UpstreamCatalogTest {

  private static final long LATE_MILLIS = 100_000;

  private final UpstreamCatalog catalog = new UpstreamCatalog();

  private static UpstreamEntry entry(String id, boolean leaving) {
    return new UpstreamEntry(id, "s", "a:1", "d", leaving, 4, 0);
  }

  private List<String> usable(long now) {
    return catalog.usable("s", now).stream().map(UpstreamEntry::id).toList();
  }

  @Test
  void listsUpstreamsOfTheServiceThatAreNotLeaving() {
    catalog.put(entry("a", false));
    catalog.put(entry("b", true));
    catalog.put(new UpstreamEntry("c", "other", "a:1", "d", false, 4, 0));
    assertThat(usable(0)).containsExactly("a");
    assertThat(catalog.size()).isEqualTo(3);
  }

  @Test
  void putReturnsWhetherTheEntryChanged() {
    assertThat(catalog.put(entry("a", false))).isTrue();
    assertThat(catalog.put(entry("a", false))).isFalse();
    assertThat(catalog.put(entry("a", true))).isTrue();
  }

  @Test
  void removesImmediatelyWhileTheStoreIsAvailable() {
    catalog.put(entry("a", false));
    assertThat(catalog.remove("a", LATE_MILLIS)).isTrue();
    assertThat(usable(LATE_MILLIS)).isEmpty();
    assertThat(catalog.remove("a", LATE_MILLIS)).isFalse();
  }

  /**
   * Guards against requests to an upstream that this daemon knows to be gone, and against an entry
   * that stays although the store does not list it.
   */
  @ParameterizedTest
  @CsvSource({
    "none, 0, true",
    "none, 10_000, false",
    "listed, 10_000, true",
    "removed, 0, false",
    "leaving, 0, false",
    "missing, 0, false"
  })
  void usesReportedUpstreamUnlessMoreIsKnown(String known, String afterMillis, boolean isUsable) {
    UpstreamEntry reported = entry("a", false);
    if (known.equals("removed")) {
      catalog.put(reported);
      catalog.remove("a", LATE_MILLIS);
    } else if (known.equals("leaving")) {
      catalog.onLeaving(LeavingUpstream.of(reported));
    }
    boolean isAdded = catalog.putReported(reported, LATE_MILLIS);
    assertThat(isAdded).isNotEqualTo(known.equals("removed") || known.equals("leaving"));
    if (known.equals("listed")) {
      catalog.put(reported);
    } else if (known.equals("missing")) {
      catalog.replaceAll(List.of(), LATE_MILLIS);
    }
    long now = LATE_MILLIS + Long.parseLong(afterMillis.replace("_", ""));
    assertThat(usable(now)).hasSize(isUsable ? 1 : 0);
  }

  /** Guards against requests to an upstream that left before the copy of a restored store. */
  @ParameterizedTest
  @CsvSource({"true, false, false", "false, false, false", "false, true, true"})
  void usesRemovedUpstreamAfterRestorationOnlyOnceItHasWrittenItsEntry(
      boolean wasLeaving, boolean isWritten, boolean isUsable) {
    catalog.put(entry("a", wasLeaving));
    catalog.remove("a", LATE_MILLIS);
    catalog.onStoreRestored(LATE_MILLIS + 500);
    catalog.replaceAll(List.of(entry("a", false)), LATE_MILLIS + 600);
    if (isWritten) {
      catalog.onWritten(LeavingUpstream.of(entry("a", false)));
    }
    assertThat(usable(LATE_MILLIS + 700)).hasSize(isUsable ? 1 : 0);
  }

  /** Guards against refusing all requests after an outage in which the entries expired. */
  @Test
  void keepsExpiredEntriesDuringTheGracePeriod() {
    catalog.put(entry("a", false));
    catalog.put(entry("b", false));
    catalog.onStoreRegained(LATE_MILLIS);
    catalog.replaceAll(List.of(), LATE_MILLIS + 10);
    assertThat(usable(LATE_MILLIS + 10)).containsExactly("a", "b");
    catalog.put(entry("b", false));
    assertThat(usable(LATE_MILLIS + UpstreamCatalog.REMOVAL_GRACE_MILLIS)).containsExactly("b");
  }

  /**
   * Guards against sending requests to an upstream that left just as the store became available
   * again.
   */
  @Test
  void gracePeriodEndsBeforeTheDrainBound() {
    final long drainBoundMillis = 2_000;
    catalog.put(entry("a", false));
    catalog.onStoreRegained(LATE_MILLIS);
    assertThat(catalog.remove("a", LATE_MILLIS + 1)).isFalse();
    assertThat(usable(LATE_MILLIS + drainBoundMillis - 100)).isEmpty();
  }

  /**
   * Guards against sending new requests to an upstream that announced its shutdown and was then
   * removed.
   */
  @Test
  void removesLeavingUpstreamsWithoutGracePeriod() {
    catalog.put(entry("a", true));
    catalog.onStoreRegained(LATE_MILLIS);
    assertThat(catalog.remove("a", LATE_MILLIS + 10)).isTrue();
  }
}
