package org.hibiscusreel.ctl.streams;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hibiscusreel.core.forward.StreamOrigin;

/** What the logs tell of a stream that callers took up. */
public final class TakenUpStream {

  /** How far the origin of a take-up with events can be compared. */
  public enum Comparison {
    /** With the request that brought the first event. */
    WITH_FIRST_REQUEST,
    /** Only with other take-ups and what daemons concluded; the first request left no line. */
    WITHOUT_FIRST_REQUEST,
    /** Not at all, since no line tells at which version the take-up went on. */
    UNKNOWN
  }

  /** Sources by worth; the daemons that know the stream come first. */
  private static final List<String> SOURCES =
      List.of("own", "record", "report", "rows", "view", "peers");

  private record Member(
      RequestLine line,
      Optional<StreamOrigin> origin,
      Optional<OriginLine> conclusion,
      Set<StreamOrigin> listed) {}

  /** One side of a comparison. */
  private record Claim(
      String request, String daemon, StreamOrigin origin, String evidence, long events) {}

  private record Entry(long atMillis, String text) {}

  private final String id;
  private final List<Member> begins = new ArrayList<>();
  private final List<Member> takeUps = new ArrayList<>();
  private final List<OriginLine> conclusions = new ArrayList<>();

  TakenUpStream(String id) {
    this.id = id;
  }

  void addBegin(RequestLine line, Optional<StreamOrigin> origin, Set<StreamOrigin> listed) {
    begins.add(new Member(line, origin, Optional.empty(), listed));
  }

  void addTakeUp(
      RequestLine line,
      Optional<StreamOrigin> origin,
      Optional<OriginLine> conclusion,
      Set<StreamOrigin> listed) {
    takeUps.add(new Member(line, origin, conclusion, listed));
  }

  void addConclusion(OriginLine line) {
    conclusions.add(line);
  }

  /**
   * Returns whether a request began or took up the stream.
   *
   * @param request identity of the request
   * @return true if it did, or if a take-up names it
   */
  public boolean contains(String request) {
    return id.equals(request)
        || takeUps.stream()
            .anyMatch(t -> t.line().id().equals(request) || t.line().resumes().equals(request));
  }

  /**
   * Returns a line for each take-up whose events came from another origin than those of the first
   * request, and for each other conclusion that names another origin.
   *
   * @return the lines, empty if nothing differs
   */
  public List<String> differences() {
    Optional<Claim> reference = reference();
    if (reference.isEmpty()) {
      return List.of();
    }
    Set<StreamOrigin> same =
        begins.stream().flatMap(b -> b.origin().stream()).collect(Collectors.toSet());
    same.add(reference.get().origin());
    List<Claim> others = new ArrayList<>();
    takeUps.stream().flatMap(t -> claim(t).stream()).forEach(others::add);
    Set<OriginLine> used =
        takeUps.stream()
            .filter(t -> t.origin().isPresent())
            .flatMap(t -> t.conclusion().stream())
            .collect(Collectors.toSet());
    conclusions.stream()
        .filter(c -> !used.contains(c))
        .flatMap(c -> claim(c).stream())
        .forEach(others::add);
    return others.stream()
        .filter(c -> !same.contains(c.origin()))
        .map(c -> describe(reference.get(), c))
        .distinct()
        .toList();
  }

  /**
   * Returns a line for each request of the stream that went to an upstream which daemons listed at
   * several versions, so that its version is not certain.
   *
   * @return the lines
   */
  public List<String> uncertain() {
    return Stream.concat(begins.stream(), takeUps.stream())
        .filter(m -> m.origin().isPresent() && m.listed().size() > 1)
        .map(
            m ->
                new LineText("uncertain")
                    .add("stream", id)
                    .add("request", m.line().id())
                    .add("daemon", m.line().daemon())
                    .add("upstream", m.line().lastUpstream().orElse(""))
                    .add("listed", m.listed().stream().map(LineText::origin).sorted().toList())
                    .toString())
        .toList();
  }

  /**
   * Returns what the logs tell of the stream, by the time of day of the daemons.
   *
   * @return the lines
   */
  public List<String> history() {
    List<Entry> entries = new ArrayList<>();
    begins.forEach(b -> entries.add(new Entry(b.line().atMillis(), describe("began", b))));
    conclusions.forEach(
        c ->
            entries.add(
                new Entry(
                    c.atMillis(),
                    new LineText("concluded")
                        .add("daemon", c.daemon())
                        .add("origin", c.origin().map(LineText::origin).orElse(c.outcome()))
                        .add("evidence", c.source() + c.evidence())
                        .toString())));
    takeUps.forEach(t -> entries.add(new Entry(t.line().atMillis(), describe("taken-up", t))));
    return entries.stream()
        .sorted(Comparator.comparingLong(Entry::atMillis))
        .map(Entry::text)
        .toList();
  }

  /**
   * Returns how far each take-up with events can be compared.
   *
   * @return one entry for each of them
   */
  public List<Comparison> comparisons() {
    boolean hasFirst = begins.stream().anyMatch(b -> b.origin().isPresent());
    return takeUps.stream()
        .filter(t -> t.line().events() > 0)
        .map(
            t -> {
              if (t.origin().isEmpty()) {
                return Comparison.UNKNOWN;
              }
              return hasFirst ? Comparison.WITH_FIRST_REQUEST : Comparison.WITHOUT_FIRST_REQUEST;
            })
        .toList();
  }

  private Optional<Claim> reference() {
    Comparator<OriginLine> byWorth =
        Comparator.<OriginLine>comparingInt(c -> rank(c.source()))
            .thenComparingLong(OriginLine::atMillis);
    Optional<Claim> begun = begins.stream().flatMap(b -> claim(b).stream()).findFirst();
    Optional<Claim> concluded =
        conclusions.stream()
            .filter(c -> c.origin().isPresent())
            .min(byWorth)
            .flatMap(TakenUpStream::claim);
    Optional<Claim> takenUp =
        takeUps.stream()
            .filter(t -> t.origin().isPresent())
            .min(Comparator.comparingLong(t -> t.line().atMillis()))
            .flatMap(TakenUpStream::claim);
    return begun.or(() -> concluded).or(() -> takenUp);
  }

  private static int rank(String source) {
    int index = SOURCES.indexOf(source);
    return index < 0 ? SOURCES.size() : index;
  }

  private static Optional<Claim> claim(Member m) {
    String evidence =
        m.conclusion()
            .map(c -> c.source() + c.evidence())
            .orElseGet(
                () ->
                    (m.line().resumes().isEmpty() ? "began" : "not logged") + m.line().evidence());
    return m.origin()
        .map(o -> new Claim(m.line().id(), m.line().daemon(), o, evidence, m.line().events()));
  }

  private static Optional<Claim> claim(OriginLine c) {
    return c.origin().map(o -> new Claim("", c.daemon(), o, c.source() + c.evidence(), 0));
  }

  private String describe(Claim reference, Claim other) {
    return new LineText("differs")
        .add("stream", id)
        .add("request", reference.request())
        .add("daemon", reference.daemon())
        .add("origin", LineText.origin(reference.origin()))
        .add("evidence", reference.evidence())
        .add("other_request", other.request())
        .add("other_daemon", other.daemon())
        .add("other_origin", LineText.origin(other.origin()))
        .add("other_evidence", other.evidence())
        .add("other_events", String.valueOf(other.events()))
        .toString();
  }

  private static String describe(String kind, Member m) {
    return new LineText(kind)
        .add("request", m.line().id())
        .add("daemon", m.line().daemon())
        .add("origin", m.origin().map(LineText::origin).orElse(""))
        .add("upstreams", m.line().upstreams())
        .add("events", String.valueOf(m.line().events()))
        .add("outcome", m.line().outcome())
        .toString();
  }
}
