package org.hibiscusreel.ctl.streams;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.hibiscusreel.coordination.forward.Refusal;

/** Numbers of take-ups by outcome, and of conclusions by source. */
public final class TakeUpCounts {

  /** Largest number of causes that are told apart; further ones are counted together. */
  static final int MAX_CAUSES = 200;

  private static final String OTHER = "other causes";
  private static final String NO_SOURCE = "not logged";
  private static final Set<String> REFUSALS =
      Arrays.stream(Refusal.Kind.values()).map(Enum::name).collect(Collectors.toSet());
  private static final Pattern VARYING =
      Pattern.compile("(?<!status )(?<![\\w.-])(?=[\\w.:/-]*\\d)[\\w.:/-]+");

  private final Map<String, Long> refused = new TreeMap<>();
  private final Map<String, Long> ended = new TreeMap<>();
  private final Map<String, Long> sources = new TreeMap<>();
  private long takeUps;
  private long complete;
  private long unnamed;

  void onTakeUp(RequestLine line, Optional<OriginLine> conclusion) {
    takeUps++;
    if (line.resumes().isEmpty() && line.events() > 0) {
      unnamed++;
    }
    if (line.outcome().equals(RequestLine.COMPLETE)) {
      complete++;
      return;
    }
    String source = conclusion.map(OriginLine::source).orElse(NO_SOURCE);
    boolean isRefused = REFUSALS.contains(line.outcome().split(" ", 2)[0]);
    add(isRefused ? refused : ended, cause(line) + " (source: " + source + ")");
  }

  void onConclusion(OriginLine line) {
    String result = line.origin().isPresent() ? "version found" : line.outcome();
    add(sources, line.source() + ", " + result);
  }

  private static void add(Map<String, Long> counts, String key) {
    boolean isKept = counts.containsKey(key) || counts.size() < MAX_CAUSES;
    counts.merge(isKept ? key : OTHER, 1L, Long::sum);
  }

  /** Returns the outcome without identifiers and numbers, except for the status of a response. */
  static String cause(RequestLine line) {
    String outcome = line.outcome();
    if (!line.service().isEmpty()) {
      outcome =
          outcome.replaceAll(
              "(?<![\\w-])" + Pattern.quote(line.service()) + "(?![\\w-])", "SERVICE");
    }
    return VARYING.matcher(outcome).replaceAll("#");
  }

  /**
   * Returns the number of take-ups.
   *
   * @return 0 or more
   */
  public long takeUps() {
    return takeUps;
  }

  /**
   * Returns the number of take-ups whose answer was complete.
   *
   * @return 0 or more
   */
  public long complete() {
    return complete;
  }

  /**
   * Returns the number of take-ups with events whose caller named no request, so that they can't be
   * compared.
   *
   * @return 0 or more
   */
  public long unnamed() {
    return unnamed;
  }

  /**
   * Returns the numbers of take-ups that were refused, by cause and source of the origin.
   *
   * @return the numbers
   */
  public Map<String, Long> refused() {
    return new TreeMap<>(refused);
  }

  /**
   * Returns the numbers of take-ups that ended in another way, by cause and source of the origin.
   *
   * @return the numbers
   */
  public Map<String, Long> ended() {
    return new TreeMap<>(ended);
  }

  /**
   * Returns the numbers of conclusions by source and result.
   *
   * @return the numbers
   */
  public Map<String, Long> sources() {
    return new TreeMap<>(sources);
  }
}
