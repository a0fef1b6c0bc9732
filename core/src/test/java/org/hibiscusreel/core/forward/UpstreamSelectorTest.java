package org.hibiscusreel.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamSelectorTest {

  private final Random random = new Random(7);

  private static List<UpstreamSelector.Candidate> candidates(int count) {
    List<UpstreamSelector.Candidate> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String domain = i % 2 == 0 ? "here" : "there";
      list.add(
          new UpstreamSelector.Candidate(
              new UpstreamEntry("u" + i, "s", "a:" + i, domain, false, 4, 0),
              new UpstreamLoad(),
              PeerLoads.Load.NONE));
    }
    return list;
  }

  private static PromptShape prompt(String shared) {
    return new PromptShape(
        1_000, 100, List.of(new PromptShape.Part(shared, 900), new PromptShape.Part("own", 100)));
  }

  private UpstreamSelector.Candidate choose(
      List<UpstreamSelector.Candidate> candidates, Optional<PromptShape> prompt) {
    return UpstreamSelector.choose(candidates, prompt, "here", 0, random::nextLong)
        .orElseThrow()
        .candidate();
  }

  @Test
  void returnsEmptyWithoutCandidates() {
    assertThat(UpstreamSelector.choose(List.of(), Optional.empty(), "here", 0, () -> 0)).isEmpty();
  }

  /** Guards against many upstreams prefilling the same shared prefix. */
  @Test
  void sendsPromptsWithTheSamePrefixToTheSameUpstream() {
    List<UpstreamSelector.Candidate> ownCandidates = candidates(8);
    List<UpstreamSelector.Candidate> otherDaemonCandidates = candidates(8);
    for (int i = 0; i < 50; i++) {
      Optional<PromptShape> p = Optional.of(prompt("part" + i));
      assertThat(choose(ownCandidates, p).entry())
          .isEqualTo(choose(otherDaemonCandidates, p).entry());
    }
  }

  @Test
  void spreadsDifferentPrefixes() {
    List<UpstreamSelector.Candidate> list = candidates(8);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      used.add(choose(list, Optional.of(prompt("part" + i))).entry().id());
    }
    assertThat(used).hasSize(8);
  }

  /**
   * Guards against overloading one upstream with a prefix that much of the traffic shares, by a
   * burst of 64 requests with the same prefix, none of which ends.
   */
  @Test
  void avoidsUpstreamWithMuchMoreLoadThanTheOthers() {
    List<UpstreamSelector.Candidate> list = candidates(8);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 64; i++) {
      UpstreamSelector.Candidate c = choose(list, Optional.of(prompt("hot")));
      c.load().onSent(1_000);
      counts.merge(c.entry().id(), 1, Integer::sum);
    }
    double mean = 64.0 / 8;
    assertThat(counts.values())
        .allSatisfy(n -> assertThat(n.doubleValue()).isLessThan(mean * 1.5 + 1));
  }

  private static void setPeerLoad(
      List<UpstreamSelector.Candidate> list, int i, PeerLoads.Load load) {
    list.set(i, new UpstreamSelector.Candidate(list.get(i).entry(), list.get(i).load(), load));
  }

  /**
   * Guards against queueing behind long prompts of other daemons while the next upstream is idle.
   */
  @Test
  void leavesFirstRankedUpstreamWithLongPromptsOfOtherDaemons() {
    List<UpstreamSelector.Candidate> list = candidates(4);
    Optional<PromptShape> p = Optional.of(prompt("hot"));
    int firstRanked = list.indexOf(choose(list, p));
    setPeerLoad(list, firstRanked, new PeerLoads.Load(1, 1_200));
    assertThat(list.indexOf(choose(list, p))).isEqualTo(firstRanked);
    setPeerLoad(list, firstRanked, new PeerLoads.Load(1, 1_300));
    assertThat(list.indexOf(choose(list, p))).isNotEqualTo(firstRanked);
  }

  /** Guards against sending a prefix to a third upstream although a second one has it cached. */
  @Test
  void prefersUpstreamWithCachedPrefix() {
    List<UpstreamSelector.Candidate> list = candidates(4);
    Optional<PromptShape> p = Optional.of(prompt("hot"));
    int firstRanked = list.indexOf(choose(list, p));
    int second = (firstRanked + 1) % list.size();
    list.get(second).load().prefixCache().recordPrompt(p.get(), 100_000);
    setPeerLoad(list, firstRanked, new PeerLoads.Load(1, 5_000));
    assertThat(list.indexOf(choose(list, p))).isEqualTo(second);
  }

  @Test
  void returnsTheTokensThatAreNotCached() {
    List<UpstreamSelector.Candidate> list = candidates(1);
    UpstreamSelector.Choice c =
        UpstreamSelector.choose(list, Optional.of(prompt("x")), "here", 0, () -> 0).orElseThrow();
    assertThat(c.prefillTokens()).isEqualTo(100);
  }

  /** Guards against plain requests queueing at an upstream that other daemons keep busy. */
  @Test
  void countsThePlainRequestsOfOtherDaemons() {
    List<UpstreamSelector.Candidate> list = candidates(2);
    setPeerLoad(list, 0, new PeerLoads.Load(2, 0));
    assertThat(choose(list, Optional.empty())).isSameAs(list.get(1));
  }

  @Test
  void prefersOwnFailureDomainAmongEquallyBusyUpstreams() {
    List<UpstreamSelector.Candidate> list = candidates(4);
    assertThat(choose(list, Optional.empty()).entry().failureDomain()).isEqualTo("here");
    list.get(0).load().onSent(0);
    list.get(2).load().onSent(0);
    assertThat(choose(list, Optional.empty()).entry().failureDomain()).isEqualTo("there");
  }

  @Test
  void avoidsSuspendedUpstreamsUnlessAllAreSuspended() {
    List<UpstreamSelector.Candidate> list = candidates(2);
    list.get(0).load().onFailure(0);
    assertThat(choose(list, Optional.empty())).isSameAs(list.get(1));
    list.get(1).load().onFailure(0);
    assertThat(UpstreamSelector.choose(list, Optional.empty(), "here", 0, () -> 0)).isPresent();
  }

  /** Guards against suspects that are spread over upstreams and crash several of them. */
  @Test
  void sendsSuspectsOfTheSameKeyToTheSameUpstream() {
    List<UpstreamSelector.Candidate> own = candidates(8);
    List<UpstreamSelector.Candidate> other = candidates(8);
    own.forEach(c -> c.load().onSent(random.nextInt(10_000)));
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      String key = "key" + i;
      UpstreamSelector.Choice c =
          UpstreamSelector.chooseByKey(own, Optional.of(prompt("p")), key, 0).orElseThrow();
      assertThat(
              UpstreamSelector.chooseByKey(other, Optional.empty(), key, 0)
                  .orElseThrow()
                  .candidate()
                  .entry())
          .isEqualTo(c.candidate().entry());
      assertThat(c.prefillTokens()).isEqualTo(1_000);
      chosen.add(c.candidate().entry().id());
    }
    assertThat(chosen).hasSizeGreaterThan(4);
    assertThat(UpstreamSelector.chooseByKey(List.of(), Optional.empty(), "key", 0)).isEmpty();
  }

  @Test
  void sendsSuspectsToNoSuspendedUpstream() {
    List<UpstreamSelector.Candidate> list = candidates(2);
    list.get(0).load().onFailure(0);
    for (int i = 0; i < 20; i++) {
      assertThat(
              UpstreamSelector.chooseByKey(list, Optional.empty(), "key" + i, 1)
                  .orElseThrow()
                  .candidate())
          .isEqualTo(list.get(1));
    }
  }
}
