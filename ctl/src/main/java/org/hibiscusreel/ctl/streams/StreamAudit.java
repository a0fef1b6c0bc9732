package org.hibiscusreel.ctl.streams;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hibiscusreel.core.forward.StreamOrigin;

/**
 * Compares the origins of streams that callers took up. All lines are passed to {@link #collect}
 * first and then once more to {@link #collectFirst}: only the requests that a take-up names are
 * kept, so that memory grows with the number of take-ups and of upstreams, not with that of lines.
 */
public final class StreamAudit {

  /** Largest number of take-ups that are kept, about 1 KB each with its {@code stream_origin}. */
  public static final int MAX_TAKE_UPS = 200_000;

  /** Largest number of upstream identities that are kept. */
  public static final int MAX_UPSTREAMS = 500_000;

  /** Largest number of requests of one identity that are kept as the first one of its stream. */
  private static final int MAX_FIRST = 16;

  /** Take-ups that follow each other; a longer chain is cut, so that a loop ends. */
  private static final int MAX_CHAIN = 64;

  /** Thrown if the lines hold more than is kept. */
  public static final class TooManyException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    TooManyException(String what, int most) {
      super("more than " + most + " " + what + "; pass the logs of a shorter time");
    }
  }

  private static final String ID = "\"id\":\"";

  private record TakeUp(RequestLine line, Optional<OriginLine> conclusion) {}

  private final Map<String, Set<StreamOrigin>> listed = new HashMap<>();
  private final Map<StreamOrigin, StreamOrigin> origins = new HashMap<>();
  private final List<TakeUp> takeUps = new ArrayList<>();
  private final Map<String, String> resumedBy = new HashMap<>();
  private final Map<String, List<OriginLine>> conclusions = new LinkedHashMap<>();
  private final Map<String, OriginLine> lastUnnamed = new HashMap<>();
  private final Map<String, List<RequestLine>> first = new HashMap<>();
  private final Set<String> named = new HashSet<>();
  private final TakeUpCounts counts = new TakeUpCounts();
  private int conclusionCount;

  /**
   * Collects take-ups, conclusions and upstreams.
   *
   * @param line JSON text of a line
   * @return false if the line can't be used
   * @throws TooManyException if the lines hold more than is kept
   */
  public boolean collect(String line) {
    if (LineParser.isOf(line, "upstream")) {
      return LineParser.parse(line).map(this::addUpstream).orElse(false);
    }
    if (LineParser.isOf(line, "stream_origin")) {
      return LineParser.parse(line).map(n -> addConclusion(LineParser.origin(n))).orElse(false);
    }
    if (LineParser.isOf(line, "request") && LineParser.isTakeUp(line)) {
      return LineParser.parse(line).map(n -> addTakeUp(LineParser.request(n))).orElse(false);
    }
    return true;
  }

  /**
   * Collects the requests that began the streams.
   *
   * @param line JSON text of a line
   * @return false if the line can't be used
   */
  public boolean collectFirst(String line) {
    if (!LineParser.isOf(line, "request") || LineParser.isTakeUp(line) || !namesFirst(line)) {
      return true;
    }
    return LineParser.parse(line).map(n -> addFirst(LineParser.request(n))).orElse(false);
  }

  /** Looks the identity up without reading the other fields, since most requests are not named. */
  private boolean namesFirst(String line) {
    int begin = line.indexOf(ID) + ID.length();
    int end = line.indexOf('"', begin);
    if (begin < ID.length() || end < begin) {
      return false;
    }
    String id = line.substring(begin, end);
    return named.contains(id) || id.contains("\\");
  }

  private boolean addUpstream(JsonNode line) {
    StreamOrigin o = LineParser.upstreamOrigin(line);
    if (listed.size() >= MAX_UPSTREAMS) {
      throw new TooManyException("upstreams", MAX_UPSTREAMS);
    }
    listed
        .computeIfAbsent(LineParser.text(line, "upstream"), u -> new LinkedHashSet<>(2))
        .add(origins.computeIfAbsent(o, x -> x));
    return true;
  }

  private boolean addConclusion(OriginLine line) {
    counts.onConclusion(line);
    if (conclusionCount++ >= 2 * MAX_TAKE_UPS) {
      throw new TooManyException("conclusions", 2 * MAX_TAKE_UPS);
    }
    if (line.request().isEmpty()) {
      lastUnnamed.put(line.daemon(), line);
    } else {
      conclusions.computeIfAbsent(line.request(), r -> new ArrayList<>(1)).add(line);
    }
    return true;
  }

  private boolean addTakeUp(RequestLine line) {
    if (takeUps.size() >= MAX_TAKE_UPS) {
      throw new TooManyException("take-ups", MAX_TAKE_UPS);
    }
    Optional<OriginLine> conclusion = lastConclusion(line);
    counts.onTakeUp(line, conclusion);
    takeUps.add(new TakeUp(line, conclusion));
    if (!line.resumes().isEmpty()) {
      resumedBy.put(line.id(), line.resumes());
      named.add(line.resumes());
    }
    return true;
  }

  /** Returns the last conclusion of the daemon of a take-up before it. */
  private Optional<OriginLine> lastConclusion(RequestLine line) {
    if (line.resumes().isEmpty()) {
      return Optional.ofNullable(lastUnnamed.get(line.daemon()));
    }
    List<OriginLine> all = conclusions.getOrDefault(line.resumes(), List.of());
    for (int i = all.size() - 1; i >= 0; i--) {
      if (all.get(i).daemon().equals(line.daemon())) {
        return Optional.of(all.get(i));
      }
    }
    return Optional.empty();
  }

  private boolean addFirst(RequestLine line) {
    if (named.contains(line.id()) && line.events() > 0) {
      List<RequestLine> all = first.computeIfAbsent(line.id(), i -> new ArrayList<>(1));
      if (all.size() < MAX_FIRST) {
        all.add(line);
      }
    }
    return true;
  }

  /**
   * Returns the numbers of take-ups.
   *
   * @return the numbers
   */
  public TakeUpCounts counts() {
    return counts;
  }

  /**
   * Compares the origins.
   *
   * @return the streams that were taken up, by the request that brought their first event
   */
  public Map<String, TakenUpStream> compare() {
    Map<String, TakenUpStream> streams = new TreeMap<>();
    conclusions.forEach(
        (request, all) -> {
          TakenUpStream s = streams.computeIfAbsent(firstOf(request), TakenUpStream::new);
          all.forEach(s::addConclusion);
        });
    for (TakeUp t : takeUps) {
      String resumes = t.line().resumes();
      if (!resumes.isEmpty()) {
        streams
            .computeIfAbsent(firstOf(resumes), TakenUpStream::new)
            .addTakeUp(t.line(), originOf(t.line(), false), t.conclusion(), listedFor(t.line()));
      }
    }
    streams.forEach(
        (id, s) ->
            first
                .getOrDefault(id, List.of())
                .forEach(r -> s.addBegin(r, originOf(r, true), listedFor(r))));
    return streams;
  }

  /** Follows take-ups that name take-ups. */
  private String firstOf(String request) {
    String id = request;
    for (int i = 0; i < MAX_CHAIN; i++) {
      String next = resumedBy.get(id);
      if (next == null || next.equals(id)) {
        return id;
      }
      id = next;
    }
    return request;
  }

  private Set<StreamOrigin> listedFor(RequestLine line) {
    return line.lastUpstream().map(listed::get).orElse(Set.of());
  }

  /**
   * Returns at what the events of a request came from. A request that begins a stream names it; one
   * that takes a stream up names what its daemon concluded, so the upstream's entry counts first.
   */
  private Optional<StreamOrigin> originOf(RequestLine line, boolean isBegin) {
    if (line.events() <= 0) {
      return Optional.empty();
    }
    Set<StreamOrigin> entries = listedFor(line);
    Optional<StreamOrigin> entry =
        entries.size() == 1 ? Optional.of(entries.iterator().next()) : Optional.empty();
    return isBegin ? line.named().or(() -> entry) : entry.or(line::named);
  }
}
